package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/** Cuts a stream of server-sent events after whole events and reads their numbers. */
final class EventStreamSplitter {

  /** Stands for the number of an event that has none. */
  static final long NO_NUMBER = -1;

  /** Longest event that is waited for, in bytes. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  private static final int FIRST_BUFFER_BYTES = 512;
  private static final int RADIX = 10;
  private static final byte[] IDENTITY_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[FIRST_BUFFER_BYTES];
  private int size;

  /** Bytes looked at, and where the line that is being looked at starts. */
  private int scanned;

  private int lineStart;

  /** End of the last whole event, how many are whole, and their numbers. */
  private int wholeEnd;

  private int wholeEvents;
  private long firstNumber = NO_NUMBER;
  private long lastNumber = NO_NUMBER;

  /** What is known of the event that is being looked at. */
  private boolean hasField;

  private long number = NO_NUMBER;

  /**
   * Whole events.
   *
   * @param content their bytes
   * @param count how many they are
   * @param firstNumber number of the first; {@link #NO_NUMBER} if they have none
   * @param lastNumber number of the last; {@link #NO_NUMBER} if they have none
   */
  record Events(Bytes content, int count, long firstNumber, long lastNumber) {}

  /** Takes all readable bytes; returns the events that are whole now, if there are any. */
  Optional<Events> append(ByteBuf bytes) {
    int added = bytes.readableBytes();
    if (size + added > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + added));
    }
    bytes.readBytes(buffer, size, added);
    size += added;
    scan();
    return wholeEvents == 0 ? Optional.empty() : Optional.of(cut());
  }

  /** Returns whether bytes of an event that is not whole are left. */
  boolean hasPartialEvent() {
    return size > 0;
  }

  /** Returns whether an event is longer than any that is waited for. */
  boolean exceedsMaximumEventSize() {
    return size > MAXIMUM_EVENT_BYTES;
  }

  private void scan() {
    for (; scanned < size; scanned++) {
      if (buffer[scanned] == '\n') {
        int end = scanned > lineStart && buffer[scanned - 1] == '\r' ? scanned - 1 : scanned;
        endLine(end);
        lineStart = scanned + 1;
      }
    }
  }

  private void endLine(int end) {
    if (end == lineStart) {
      endEvent();
    } else if (buffer[lineStart] != ':') {
      hasField = true;
      int valueStart = lineStart + IDENTITY_FIELD.length;
      if (valueStart <= end
          && Arrays.equals(
              buffer, lineStart, valueStart, IDENTITY_FIELD, 0, IDENTITY_FIELD.length)) {
        number = number(valueStart, end);
      }
    }
  }

  private void endEvent() {
    if (hasField) {
      wholeEvents++;
      wholeEnd = scanned + 1;
      firstNumber = firstNumber == NO_NUMBER ? number : firstNumber;
      lastNumber = number == NO_NUMBER ? lastNumber : number;
    }
    hasField = false;
    number = NO_NUMBER;
  }

  private Events cut() {
    Bytes content = new Bytes(Arrays.copyOf(buffer, wholeEnd));
    final Events events = new Events(content, wholeEvents, firstNumber, lastNumber);
    System.arraycopy(buffer, wholeEnd, buffer, 0, size - wholeEnd);
    size -= wholeEnd;
    scanned -= wholeEnd;
    lineStart -= wholeEnd;
    wholeEnd = 0;
    wholeEvents = 0;
    firstNumber = NO_NUMBER;
    lastNumber = NO_NUMBER;
    return events;
  }

  private long number(int from, int to) {
    int start = from;
    while (start < to && buffer[start] == ' ') {
      start++;
    }
    long value = 0;
    for (int index = start; index < to; index++) {
      int digit = buffer[index] - '0';
      if (digit < 0 || digit >= RADIX || value > Long.MAX_VALUE / (RADIX * RADIX)) {
        return NO_NUMBER;
      }
      value = value * RADIX + digit;
    }
    return start == to ? NO_NUMBER : value;
  }
}

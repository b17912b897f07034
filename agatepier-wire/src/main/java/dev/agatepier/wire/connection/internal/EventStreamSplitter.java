package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and parses the event ids. The protocol
 * of upstreams says that each event has one, and that they increase.
 */
final class EventStreamSplitter {

  /** Number where there is no event, and of an event without exactly one numeric id. */
  static final long NO_NUMBER = -1;

  /** Maximum size of an incomplete event, in bytes. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int RADIX = 10;
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;

  /** Number of bytes scanned, and start of the line being scanned. */
  private int scanned;

  private int lineStart;

  /** End of the last complete event, the number of complete events, and their first id. */
  private int completeEnd;

  private int completeEvents;
  private long firstNumber = NO_NUMBER;

  /** Id of the last complete event, which is the highest. */
  private long highestNumber;

  /** Whether the event being scanned has no number above those before it. */
  private boolean unsound;

  /** Whether the event being scanned has a field, whether it has an id, and its number. */
  private boolean hasField;

  private boolean hasId;

  private long number = NO_NUMBER;

  /**
   * A run of complete events.
   *
   * @param content the bytes of the events
   * @param count number of events
   * @param firstNumber id of the first event
   * @param lastNumber id of the last event
   */
  record Events(Bytes content, int count, long firstNumber, long lastNumber) {}

  /**
   * Creates the splitter of one response.
   *
   * @param after number that those of the events must exceed
   */
  EventStreamSplitter(long after) {
    highestNumber = after;
  }

  /**
   * Appends all readable bytes; returns the events that are complete now, if any. Those from an
   * unsound event on are not returned.
   */
  Optional<Events> append(ByteBuf bytes) {
    int added = bytes.readableBytes();
    if (size + added > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + added));
    }
    bytes.readBytes(buffer, size, added);
    size += added;
    scan();
    return completeEvents == 0 ? Optional.empty() : Optional.of(removeCompleteEvents());
  }

  /** Returns whether the buffer holds an incomplete event. */
  boolean hasPartialEvent() {
    return size > 0;
  }

  /** Returns whether an event had no number above those before it. */
  boolean isUnsound() {
    return unsound;
  }

  /** Returns the number of bytes of the incomplete event. */
  int partialEventBytes() {
    return size;
  }

  /** Returns whether the incomplete event exceeds the maximum size. */
  boolean exceedsMaximumEventSize() {
    return size > MAXIMUM_EVENT_BYTES;
  }

  private void scan() {
    for (; scanned < size && !unsound; scanned++) {
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
      int valueStart = lineStart + ID_FIELD.length;
      if (valueStart <= end
          && Arrays.equals(buffer, lineStart, valueStart, ID_FIELD, 0, ID_FIELD.length)) {
        number = hasId ? NO_NUMBER : parseNumber(valueStart, end);
        hasId = true;
      }
    }
  }

  private void endEvent() {
    unsound = hasField && number <= highestNumber;
    if (hasField && !unsound) {
      completeEvents++;
      completeEnd = scanned + 1;
      firstNumber = firstNumber == NO_NUMBER ? number : firstNumber;
      highestNumber = number;
    }
    hasField = false;
    hasId = false;
    number = NO_NUMBER;
  }

  private Events removeCompleteEvents() {
    Bytes content = new Bytes(Arrays.copyOf(buffer, completeEnd));
    final Events events = new Events(content, completeEvents, firstNumber, highestNumber);
    System.arraycopy(buffer, completeEnd, buffer, 0, size - completeEnd);
    size -= completeEnd;
    scanned -= completeEnd;
    lineStart -= completeEnd;
    completeEnd = 0;
    completeEvents = 0;
    firstNumber = NO_NUMBER;
    return events;
  }

  private long parseNumber(int from, int to) {
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

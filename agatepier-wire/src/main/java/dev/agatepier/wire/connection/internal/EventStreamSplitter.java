package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and parses the event ids, which must
 * increase.
 *
 * <p>An id may be spoilt, and one that is too high shows as such only when the next event has a
 * lower one. Where ids are confirmed, an event whose id skips numbers is therefore held back until
 * an event with a higher id or the end of the response follows: a stream that is resumed after a
 * spoilt id would lack the events up to it.
 */
final class EventStreamSplitter {

  /** Number where there is no event, and of an event without exactly one numeric id. */
  static final long NO_NUMBER = -1;

  /** Usual id of the first event of a stream. */
  private static final long FIRST_NUMBER = 1;

  /** Maximum size of an incomplete event, in bytes. */
  private static final int MAXIMUM_EVENT_BYTES = 1_048_576;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int RADIX = 10;
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final Numbering numbering;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int size;

  /** Number of bytes scanned, and start of the line being scanned. */
  private int scanned;

  private int lineStart;

  /** End of the last complete event, the number of complete events, and their first and last id. */
  private int completeEnd;

  private int completeEvents;
  private long firstNumber = NO_NUMBER;
  private long lastNumber = NO_NUMBER;

  /** Highest id of an event, or the one that ids must exceed from the start. */
  private long highestNumber;

  /** End of the event that is held back, whose id is the highest one; 0 if there is none. */
  private int heldEnd;

  /** Whether the last event has no number above those before it, though it needs one. */
  private boolean unsound;

  /** Id of the last event that has one, and how many ids were not one more than that. */
  private long previousNumber = NO_NUMBER;

  private long gaps;

  /** Whether the event being scanned has a field, whether it has an id, and its number. */
  private boolean hasField;

  private boolean hasId;

  private long number = NO_NUMBER;

  /** What is known of the ids of a stream. */
  enum Numbering {
    /** Events may come without ids. */
    OPTIONAL,
    /** Each event has an id. */
    REQUIRED,
    /** Each event has an id, after which the stream may be resumed. */
    CONFIRMED
  }

  /**
   * A run of complete events.
   *
   * @param content the bytes of the events
   * @param count number of events
   * @param firstNumber id of the first event that has one, else {@link #NO_NUMBER}
   * @param lastNumber id of the last event that has one, else {@link #NO_NUMBER}
   */
  record Events(Bytes content, int count, long firstNumber, long lastNumber) {}

  /**
   * Creates the splitter of one response.
   *
   * @param after number that those of the events must exceed; {@link #NO_NUMBER} for the beginning
   */
  EventStreamSplitter(long after, Numbering numbering) {
    highestNumber = after;
    this.numbering = numbering;
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
    return removeCompleteEvents();
  }

  /** Returns the event that is held back, if any: the end of the response confirms it. */
  Optional<Events> end() {
    releaseHeldEvent();
    return removeCompleteEvents();
  }

  /** Returns whether the buffer holds an incomplete event. */
  boolean hasPartialEvent() {
    return size > heldEnd;
  }

  /** Returns whether an event had no number above those before it, though it needed one. */
  boolean isUnsound() {
    return unsound;
  }

  /** Returns how often an id was not one more than the id before it. */
  long gaps() {
    return gaps;
  }

  /** Returns the number of bytes of the events that are incomplete or held back. */
  int bufferedBytes() {
    return size;
  }

  /** Returns whether the incomplete event exceeds the maximum size. */
  boolean exceedsMaximumEventSize() {
    return size - heldEnd > MAXIMUM_EVENT_BYTES;
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
    countGap();
    boolean sound = number == NO_NUMBER ? numbering == Numbering.OPTIONAL : number > highestNumber;
    unsound = hasField && !sound;
    if (hasField && !unsound) {
      releaseHeldEvent();
      if (numbering == Numbering.CONFIRMED && skipsNumbers()) {
        heldEnd = scanned + 1;
      } else {
        addCompleteEvent(scanned + 1, number);
      }
      highestNumber = Math.max(highestNumber, number);
    }
    hasField = false;
    hasId = false;
    number = NO_NUMBER;
  }

  private void releaseHeldEvent() {
    if (heldEnd > 0) {
      addCompleteEvent(heldEnd, highestNumber);
      heldEnd = 0;
    }
  }

  private boolean skipsNumbers() {
    return number != Math.max(FIRST_NUMBER, highestNumber + 1);
  }

  private void addCompleteEvent(int end, long eventNumber) {
    completeEvents++;
    completeEnd = end;
    firstNumber = firstNumber == NO_NUMBER ? eventNumber : firstNumber;
    lastNumber = eventNumber == NO_NUMBER ? lastNumber : eventNumber;
  }

  private void countGap() {
    if (number != NO_NUMBER) {
      if (previousNumber != NO_NUMBER && number != previousNumber + 1) {
        gaps++;
      }
      previousNumber = number;
    }
  }

  private Optional<Events> removeCompleteEvents() {
    if (completeEvents == 0) {
      return Optional.empty();
    }
    Bytes content = new Bytes(Arrays.copyOf(buffer, completeEnd));
    final Events events = new Events(content, completeEvents, firstNumber, lastNumber);
    System.arraycopy(buffer, completeEnd, buffer, 0, size - completeEnd);
    size -= completeEnd;
    scanned -= completeEnd;
    lineStart -= completeEnd;
    heldEnd = Math.max(0, heldEnd - completeEnd);
    completeEnd = 0;
    completeEvents = 0;
    firstNumber = NO_NUMBER;
    lastNumber = NO_NUMBER;
    return Optional.of(events);
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

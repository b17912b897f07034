package dev.agatepier.wire.connection.internal;

/** The numbers of the events that one attempt has forwarded, for logs and metrics. */
public final class EventNumbers {

  private long first = EventStreamSplitter.NO_NUMBER;
  private long last = EventStreamSplitter.NO_NUMBER;
  private long gaps;

  /**
   * Records a run of events.
   *
   * @param firstNumber number of its first event; {@link EventStreamSplitter#NO_NUMBER} for none
   * @param lastNumber number of its last event; {@link EventStreamSplitter#NO_NUMBER} for none
   * @param gapsSoFar how often, from the start of the attempt, a number was not one more than the
   *     number before it
   */
  void record(long firstNumber, long lastNumber, long gapsSoFar) {
    if (first == EventStreamSplitter.NO_NUMBER) {
      first = firstNumber;
    }
    if (lastNumber != EventStreamSplitter.NO_NUMBER) {
      last = lastNumber;
    }
    gaps = gapsSoFar;
  }

  /** Returns the number of the first event that has one; -1 for none. */
  public long first() {
    return first;
  }

  /** Returns the number of the last event that has one; -1 for none. */
  public long last() {
    return last;
  }

  /** Returns how often a number was not one more than the number before it. */
  public long gaps() {
    return gaps;
  }
}

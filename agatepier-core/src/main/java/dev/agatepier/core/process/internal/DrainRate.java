package dev.agatepier.core.process.internal;

/** Estimates how fast a queue drains, measured only while the queue is not empty. */
final class DrainRate {

  /** Departures required before the rate is used. */
  private static final int MIN_DEPARTURES = 8;

  /** Factor by which each departure multiplies the weight of the earlier ones. */
  private static final double DECAY_FACTOR = 31.0 / 32;

  private long intervalStartNanos;
  private int departures;
  private double weightedNanos;
  private double weightedDepartures;

  /** Starts an interval; called when the queue stops being empty. */
  void startInterval(long nowNanos) {
    intervalStartNanos = nowNanos;
  }

  /** Ends the current interval because a request was sent to a sidecar, and starts the next. */
  void recordDeparture(long nowNanos) {
    weightedNanos = DECAY_FACTOR * weightedNanos + (nowNanos - intervalStartNanos);
    weightedDepartures = DECAY_FACTOR * weightedDepartures + 1;
    departures++;
    intervalStartNanos = nowNanos;
  }

  /** Returns the expected wait behind the given number of requests; 0 before the rate is known. */
  long waitNanos(int waiting) {
    return departures < MIN_DEPARTURES ? 0 : (long) (weightedNanos / weightedDepartures * waiting);
  }
}

package dev.agatepier.core.process.internal;

/** Observes how fast a queue drains while it has something to drain. */
final class DrainRate {

  /** Departures to observe before the rate is trusted. */
  private static final int LEAST_DEPARTURES = 8;

  /** Share of what was observed that each departure leaves in force. */
  private static final double REMEMBERED_SHARE = 31.0 / 32;

  private long sinceNanos;
  private int departures;
  private double weightedNanos;
  private double weightedDepartures;

  /** Notes that the queue has something to drain from now on. */
  void startInterval(long nowNanos) {
    sinceNanos = nowNanos;
  }

  /** Notes that a request left the queue for a sidecar. */
  void recordDeparture(long nowNanos) {
    weightedNanos = REMEMBERED_SHARE * weightedNanos + (nowNanos - sinceNanos);
    weightedDepartures = REMEMBERED_SHARE * weightedDepartures + 1;
    departures++;
    sinceNanos = nowNanos;
  }

  /** Returns the expected wait behind a number of requests; 0 while nothing is known. */
  long waitNanos(int waiting) {
    return departures < LEAST_DEPARTURES
        ? 0
        : (long) (weightedNanos / weightedDepartures * waiting);
  }
}

package dev.agatepier.core.process.internal;

/** Observes how fast a queue drains while it has something to drain. */
final class DrainRate {

  /** Departures to observe before the rate is trusted. */
  private static final int LEAST_DEPARTURES = 8;

  /** Weight of the newest interval in the moving average. */
  private static final double NEWEST_WEIGHT = 0.2;

  private long sinceNanos;
  private int departures;
  private double intervalNanos;

  /** Notes that the queue has something to drain from now on. */
  void begin(long nowNanos) {
    sinceNanos = nowNanos;
  }

  /** Notes that a request left the queue for a sidecar. */
  void depart(long nowNanos) {
    double interval = nowNanos - sinceNanos;
    intervalNanos =
        departures == 0 ? interval : intervalNanos + NEWEST_WEIGHT * (interval - intervalNanos);
    departures++;
    sinceNanos = nowNanos;
  }

  /** Returns the expected wait behind a number of requests; 0 while nothing is known. */
  long waitNanos(int waiting) {
    return departures < LEAST_DEPARTURES ? 0 : (long) (intervalNanos * waiting);
  }
}

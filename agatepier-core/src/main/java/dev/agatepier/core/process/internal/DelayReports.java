package dev.agatepier.core.process.internal;

/** Decides when the delay of a service is reported to the routers. */
final class DelayReports {

  /**
   * Change of the delay that is reported before the maximum interval is over: a fixed part, in
   * milliseconds, and a share of the last reported delay. Every router receives each report.
   */
  private static final long DELAY_CHANGE_MILLIS = 10;

  private static final double DELAY_CHANGE_SHARE = 0.25;

  /** Minimum and maximum time between two reports of the delay. */
  private static final long MIN_INTERVAL_NANOS = 250_000_000L;

  private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

  private long reportedDelayMillis;
  private long reportedNanos = Long.MIN_VALUE / 2;

  /** Returns whether a report of the given delay is due, and if so regards it as sent. */
  boolean takeDue(long delayMillis, long nowNanos) {
    boolean changed =
        Math.abs(delayMillis - reportedDelayMillis)
            > DELAY_CHANGE_MILLIS + DELAY_CHANGE_SHARE * reportedDelayMillis;
    boolean expired = nowNanos - reportedNanos > MAX_INTERVAL_NANOS;
    if (!expired && !(changed && nowNanos - reportedNanos > MIN_INTERVAL_NANOS)) {
      return false;
    }
    reportedDelayMillis = delayMillis;
    reportedNanos = nowNanos;
    return true;
  }
}

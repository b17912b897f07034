package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.RequestId;

/**
 * Advises rejected callers when to come back. A shortage that has lasted for some time is expected
 * to last as long again, and what it rejected takes as long to be served. The times are spread, so
 * that callers that were rejected together do not come back together.
 */
final class RetryAdvice {

  /** Time without a rejection after which a shortage is over. */
  private static final long QUIET_NANOS = 1_000_000_000L;

  /** Duration of the rest of a shortage, relative to how long it has lasted. */
  private static final double REMAINING_SHARE = 2;

  /** Callers wait for at most this share of the time that they have left. */
  private static final double HONOURED_SHARE = 1.0 / 3;

  /** Smallest and largest factor of the spread. */
  private static final double MIN_FACTOR = 0.75;

  private static final double MAX_FACTOR = 1.25;

  private static final double NANOS_PER_MILLI = 1e6;

  private final long minimumMillis;
  private long shortageSinceNanos;
  private long lastRejectedNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the advice of a service without rejections.
   *
   * @param minimumMillis shortest time after which a place is expected, in milliseconds
   */
  RetryAdvice(long minimumMillis) {
    this.minimumMillis = minimumMillis;
  }

  /**
   * Records a rejection and returns when its caller should come back, in milliseconds.
   *
   * @param timeLeftMillis time that the caller still waits, in milliseconds
   */
  long recordRejected(RequestId request, long timeLeftMillis, long nowNanos) {
    if (nowNanos - lastRejectedNanos > QUIET_NANOS) {
      shortageSinceNanos = nowNanos;
    }
    lastRejectedNanos = nowNanos;
    double lastedMillis = (nowNanos - shortageSinceNanos) / NANOS_PER_MILLI;
    double expectedMillis = Math.max(minimumMillis, REMAINING_SHARE * lastedMillis);
    double longestMillis = Math.max(0, HONOURED_SHARE * timeLeftMillis / MAX_FACTOR);
    return Math.round(spreadFactor(request) * Math.min(expectedMillis, longestMillis));
  }

  private static double spreadFactor(RequestId request) {
    double share =
        (RendezvousHash.mix(request.number() ^ request.incarnation()) >>> 1)
            / (double) Long.MAX_VALUE;
    return MIN_FACTOR + (MAX_FACTOR - MIN_FACTOR) * share;
  }
}

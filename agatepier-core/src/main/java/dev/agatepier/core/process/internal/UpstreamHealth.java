package dev.agatepier.core.process.internal;

/** Tracks failures of an upstream and ejects it for a time after consecutive failures. */
final class UpstreamHealth {

  /** Weight of the newest result in the moving average of failures. */
  private static final double NEWEST_WEIGHT = 0.15;

  /** Consecutive failures after which an upstream is ejected. */
  private static final int CONSECUTIVE_FAILURES = 3;

  /** Duration of the first ejection; doubles with each further failure. */
  private static final long FIRST_EJECTION_NANOS = 250_000_000L;

  /** Longest ejection: half of the longest time that a caller waits. */
  private static final long MAX_EJECTION_NANOS = 4_000_000_000L;

  /** Doublings after which the ejection time no longer grows. */
  private static final int MAX_DOUBLINGS = 4;

  private double failureShare;
  private int consecutiveFailures;
  private long ejectedUntilNanos = UpstreamAvailability.NO_TIME;

  /** Records a completed request. */
  void recordSuccess() {
    failureShare -= NEWEST_WEIGHT * failureShare;
    recordProgress();
  }

  /** Records progress of the upstream: resets the failure count and ends an ejection. */
  void recordProgress() {
    consecutiveFailures = 0;
    ejectedUntilNanos = UpstreamAvailability.NO_TIME;
  }

  /** Records a request that failed through a fault of the upstream. */
  void recordFailure(long nowNanos) {
    failureShare += NEWEST_WEIGHT * (1 - failureShare);
    consecutiveFailures++;
    if (consecutiveFailures >= CONSECUTIVE_FAILURES) {
      int doublings = Math.min(consecutiveFailures - CONSECUTIVE_FAILURES, MAX_DOUBLINGS);
      eject(Math.min(FIRST_EJECTION_NANOS << doublings, MAX_EJECTION_NANOS), nowNanos);
    }
  }

  /** Ejects the upstream for a time. */
  void eject(long nanos, long nowNanos) {
    ejectedUntilNanos = nowNanos + nanos;
  }

  /**
   * Returns the time until which the upstream is ejected; {@link UpstreamAvailability#NO_TIME} if
   * it is not.
   */
  long ejectedUntilNanos() {
    return ejectedUntilNanos;
  }

  /** Returns the moving average of failed requests, from 0 to 1. */
  double failureShare() {
    return failureShare;
  }
}

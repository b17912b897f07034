package dev.agatepier.core.process.internal;

/** How often the requests of one upstream have failed lately, and whether it may be tried. */
final class UpstreamHealth {

  /** Weight of the newest end in the share of failures. */
  private static final double NEWEST_WEIGHT = 0.15;

  /** Failures in a row after which an upstream is left alone for a time. */
  private static final int FAILURES_IN_A_ROW = 3;

  /** Time for which it is left alone first, doubled with each further failure. */
  private static final long FIRST_REST_NANOS = 250_000_000L;

  /** Longest time for which it is left alone: half of the time that a caller waits at most. */
  private static final long LONGEST_REST_NANOS = 4_000_000_000L;

  /** Doublings after which the rest no longer grows. */
  private static final int MOST_DOUBLINGS = 4;

  private double failureShare;
  private int consecutive;
  private long restUntilNanos = Long.MIN_VALUE;

  /** Notes a request that ended well. */
  void recordSuccess() {
    failureShare -= NEWEST_WEIGHT * failureShare;
    recordProgress();
  }

  /** Notes a sign of work. */
  void recordProgress() {
    consecutive = 0;
    restUntilNanos = Long.MIN_VALUE;
  }

  /** Notes a request that failed by the upstream's fault. */
  void recordFailure(long nowNanos) {
    failureShare += NEWEST_WEIGHT * (1 - failureShare);
    consecutive++;
    if (consecutive >= FAILURES_IN_A_ROW) {
      int doublings = Math.min(consecutive - FAILURES_IN_A_ROW, MOST_DOUBLINGS);
      eject(Math.min(FIRST_REST_NANOS << doublings, LONGEST_REST_NANOS), nowNanos);
    }
  }

  /** Leaves the upstream alone for a time. */
  void eject(long nanos, long nowNanos) {
    restUntilNanos = nowNanos + nanos;
  }

  boolean isEjected(long nowNanos) {
    return restUntilNanos != Long.MIN_VALUE && nowNanos < restUntilNanos;
  }

  /** Returns the share of recent requests that failed, newer ones counting more. */
  double failureShare() {
    return failureShare;
  }
}

package dev.agatepier.core.process.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the attempts of one service beyond the first of each request: in any time window to a
 * share of the requests plus this router's part of the slack that the fleet is allowed.
 */
final class SlidingWindowRetryBudget {

  /**
   * Fraction of the allowance that is used, so that retries counted late elsewhere do not exceed
   * it.
   */
  private static final double USED_SHARE = 0.8;

  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  SlidingWindowRetryBudget(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Counts one request. */
  void recordRequest(long nowNanos) {
    expire(requests, nowNanos);
    requests.add(nowNanos);
  }

  /**
   * Consumes one retry; returns false if none is available.
   *
   * @param ratio retries allowed as a share of the requests
   * @param slack retries allowed in addition in one window
   */
  boolean tryAcquire(double ratio, double slack, long nowNanos) {
    expire(requests, nowNanos);
    expire(retries, nowNanos);
    if (retries.size() + 1 > USED_SHARE * (ratio * requests.size() + slack)) {
      return false;
    }
    retries.add(nowNanos);
    return true;
  }

  private void expire(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}

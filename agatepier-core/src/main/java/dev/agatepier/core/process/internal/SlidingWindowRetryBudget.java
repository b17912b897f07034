package dev.agatepier.core.process.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the attempts of one service beyond the first of each request, in any window of time, by a
 * share of the requests plus this router's part of what the fleet may add to it.
 */
final class SlidingWindowRetryBudget {

  /** Part of the allowance that is used, so that late counting elsewhere does no harm. */
  private static final double USED_SHARE = 0.8;

  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  SlidingWindowRetryBudget(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Notes one request. */
  void recordRequest(long nowNanos) {
    expire(requests, nowNanos);
    requests.add(nowNanos);
  }

  /**
   * Takes one retry, if there is one.
   *
   * @param ratio retries allowed as a share of the requests
   * @param slack retries allowed beside them in one window
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

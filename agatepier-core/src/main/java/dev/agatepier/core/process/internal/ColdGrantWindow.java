package dev.agatepier.core.process.internal;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The recent grants of one slot allocator to one upstream. A second at the upstream sees only
 * grants of a longer window here: a grant is used up to its maximum age, and its request then needs
 * the time of the network.
 */
final class ColdGrantWindow {

  /** Maximum time from a grant for a cold upstream until its request is sent. */
  static final long MAX_AGE_NANOS = 250_000_000L;

  /** Maximum time from sending a request until its upstream reads it. */
  private static final long TRANSIT_NANOS = 100_000_000L;

  private static final long SECOND_NANOS = 1_000_000_000L;

  /** Length of the window. */
  static final long WINDOW_NANOS = SECOND_NANOS + MAX_AGE_NANOS + TRANSIT_NANOS;

  private final Deque<Long> grants = new ArrayDeque<>();

  /** Records a grant; remembers as many as the bound of a limit. */
  void record(int bound, long nowNanos) {
    grants.add(nowNanos);
    if (grants.size() > bound) {
      grants.remove();
    }
  }

  /** Adds the grants of another window to this one, which is empty. */
  void addAll(ColdGrantWindow other) {
    grants.addAll(other.grants);
  }

  /** Records as many grants as a limit can allow, as an allocator that is new knows no others. */
  void fill(int bound, long nowNanos) {
    for (int index = 0; index < bound; index++) {
      record(bound, nowNanos);
    }
  }

  /** Returns whether fewer grants than a quota are in the window. */
  boolean permits(int quota, long nowNanos) {
    return count(WINDOW_NANOS, nowNanos) < quota;
  }

  /** Returns the number of grants in the last second. */
  int countOfLastSecond(long nowNanos) {
    return count(SECOND_NANOS, nowNanos);
  }

  private int count(long lengthNanos, long nowNanos) {
    int count = 0;
    for (long grantedNanos : grants) {
      count += nowNanos - grantedNanos <= lengthNanos ? 1 : 0;
    }
    return count;
  }
}

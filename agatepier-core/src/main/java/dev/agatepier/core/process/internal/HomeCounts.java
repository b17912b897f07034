package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.LeastRecentlyUsedMap;
import java.util.Map;

/**
 * Number of homes of each prompt prefix by the load of its requests during the last seconds. It
 * responds to prefixes that many requests share, and to the end of that.
 */
final class HomeCounts {

  /**
   * Period over which the load is averaged: a part that is not used for longer is prefilled again
   * without cost to anybody.
   */
  private static final double PERIOD_MILLIS = 10_000;

  /**
   * Share of the time of an upstream that the requests of one prefix may take at each home. The
   * rest is for the other prefixes that have their home there.
   */
  private static final double HOME_SHARE = 0.5;

  /**
   * Share of the load that a number of homes is for, below which one of them is released. A load
   * that is near a limit then does not change the number with each request.
   */
  private static final double RELEASE_SHARE = 0.75;

  /** Maximum number of prefixes; the least recently used ones have one home again. */
  private static final int CAPACITY = 8_192;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Listener listener;

  private final Map<String, Load> loads = new LeastRecentlyUsedMap<>(CAPACITY);

  /** Decayed work of a prefix, and its number of homes. */
  private static final class Load {
    private double workMillis;
    private long updatedNanos;
    private int homes = 1;

    private void decay(long nowNanos) {
      double millis = (nowNanos - updatedNanos) / NANOS_PER_MILLI;
      workMillis *= Math.exp(-Math.max(0, millis) / PERIOD_MILLIS);
      updatedNanos = nowNanos;
    }
  }

  /** Is told when a prefix needs another number of homes. */
  @FunctionalInterface
  interface Listener {

    /** Called after the number of homes has changed. */
    void onChanged(String prefix, int homes, int previous);
  }

  /** Creates counts without load. */
  HomeCounts(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the number of homes of a prefix, then adds a request. A single request never adds a
   * home: it may stand for many, as other routers are assumed to have as many.
   *
   * @param workMillis time that the request and those it stands for take, with the prefix cached
   */
  int record(String prefix, double workMillis, long nowNanos) {
    int homes = count(prefix, nowNanos);
    Load load = loads.computeIfAbsent(prefix, name -> new Load());
    load.updatedNanos = nowNanos;
    load.workMillis += workMillis;
    return homes;
  }

  /** Returns the number of homes of a prefix. */
  int count(String prefix, long nowNanos) {
    Load load = loads.get(prefix);
    if (load == null) {
      return 1;
    }
    load.decay(nowNanos);
    double shares = load.workMillis / PERIOD_MILLIS / HOME_SHARE;
    int needed = Math.max(1, (int) Math.ceil(shares));
    int previous = load.homes;
    load.homes = Math.max(needed, previous);
    while (load.homes > needed && shares < RELEASE_SHARE * (load.homes - 1)) {
      load.homes--;
    }
    if (load.homes != previous) {
      listener.onChanged(prefix, load.homes, previous);
    }
    return load.homes;
  }
}

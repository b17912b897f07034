package dev.agatepier.core.process.internal;

/** What a slot allocator knows of the warm-up of one upstream, and its grants to it. */
final class WarmUpState {

  /**
   * Multiple of the warm-up after which a listed cold state ends without a newer list: the store
   * may be lost.
   */
  private static final int LISTED_WARM_UPS = 2;

  /** Time over which the allowed backlog of a warm upstream grows to its usual value. */
  private static final double GROWTH_NANOS = 1e9;

  /** A time before every event. */
  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  final ColdGrantWindow grants = new ColdGrantWindow();

  private boolean listedCold;

  /** When the last list that says cold was activated, or the first one that says warm again. */
  private long listedNanos = NEVER_NANOS;

  /** Whether the upstream has not answered since its connections failed. */
  private boolean returning;

  /** Start of a warm-up that is assumed. */
  private long assumedNanos = NEVER_NANOS;

  /** Records what an instance list says that was activated at a time. */
  void onListed(boolean cold, long activatedNanos) {
    if (cold || listedCold) {
      listedNanos = activatedNanos;
    }
    listedCold = cold;
  }

  /** Records that the data centre of the upstream is no longer evacuated. */
  void onEvacuationEnded(long nowNanos) {
    assumedNanos = nowNanos;
  }

  /** Records that connections to the upstream failed until it was ejected. */
  void onDisconnected() {
    returning = true;
  }

  /** Records a response; the first one after failed connections may come from a new process. */
  void onResponse(long nowNanos) {
    if (returning) {
      returning = false;
      assumedNanos = nowNanos;
    }
  }

  boolean isCold(ColdLimit limit, long nowNanos) {
    return returning
        || nowNanos - assumedNanos < limit.warmUpNanos()
        || listedCold && nowNanos - listedNanos < LISTED_WARM_UPS * limit.warmUpNanos();
  }

  /** Returns the share of the usual backlog that is allowed now that the upstream is warm. */
  double backlogShare(ColdLimit limit, long nowNanos) {
    long listedEndNanos = listedNanos + (listedCold ? LISTED_WARM_UPS * limit.warmUpNanos() : 0);
    long endNanos = Math.max(listedEndNanos, assumedNanos + limit.warmUpNanos());
    return Math.min(1, (nowNanos - endNanos) / GROWTH_NANOS);
  }
}

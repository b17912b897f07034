package dev.agatepier.core.process.internal;

/**
 * Limits for how long an engine prefills prompts without a break while it streams responses. Each
 * output token waits for the prefill of the step that it is made in, so a long run of prefill
 * stretches the gap between two events of every stream there. How much depends on the engine, so
 * the limit follows the gaps that were observed: it falls when a gap was exceeded and grows slowly
 * else.
 */
final class PrefillRunLimit {

  /** Limit at the start and its bounds, relative to the allowed gap. */
  private static final double INITIAL_SHARE = 0.8;

  private static final double MIN_SHARE = 0.25;
  private static final double MAX_SHARE = 2;

  /** Factor by which a stream that exceeded its gap lowers the limit. */
  private static final double DECREASE_FACTOR = 0.9;

  /**
   * Share of the allowed gap that a stream within its gap adds to the limit: with the factor above,
   * about one in sixteen streams exceeds its gap at an engine that is always busy.
   */
  private static final double INCREASE_SHARE = 0.005;

  private static final double NANOS_PER_MILLI = 1e6;

  private double allowedMillis = Double.POSITIVE_INFINITY;
  private double limitMillis = Double.POSITIVE_INFINITY;
  private long runStartedNanos;

  /** Sets the shortest gap of the routes, in milliseconds; infinite for none. */
  void setAllowedGap(double millis) {
    if (millis != allowedMillis) {
      allowedMillis = millis;
      limitMillis = INITIAL_SHARE * millis;
    }
  }

  /** Records the longest gap of a complete response, in milliseconds. */
  void recordLongestGap(double gapMillis) {
    double changed =
        gapMillis > allowedMillis
            ? limitMillis * DECREASE_FACTOR
            : limitMillis + INCREASE_SHARE * allowedMillis;
    limitMillis = Math.clamp(changed, MIN_SHARE * allowedMillis, MAX_SHARE * allowedMillis);
  }

  /** Records that the engine has begun to prefill after a break. */
  void recordRunStarted(long nowNanos) {
    runStartedNanos = nowNanos;
  }

  /**
   * Returns whether the current run may be extended.
   *
   * @param moreMillis expected time of the rest of the run with its extension, in milliseconds
   */
  boolean permitsExtension(double moreMillis, long nowNanos) {
    return (nowNanos - runStartedNanos) / NANOS_PER_MILLI + moreMillis <= limitMillis;
  }

  /** Returns whether a prompt alone takes longer than a run may last. */
  boolean isExceededBy(double prefillMillis) {
    return prefillMillis > limitMillis;
  }
}

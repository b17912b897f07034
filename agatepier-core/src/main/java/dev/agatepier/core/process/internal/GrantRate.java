package dev.agatepier.core.process.internal;

/**
 * Measures at which rate capacity becomes free under a shortage: the work of the slots that are
 * granted, as a moving average over about a second.
 */
final class GrantRate {

  /** Period of the average; several requests complete at an engine in it. */
  private static final double PERIOD_NANOS = 1e9;

  private static final double NANOS_PER_MILLI = 1e6;

  /** Rate that is assumed until work was granted for a period, and the lowest: one engine's. */
  private static final double MINIMUM_RATE = 1;

  private long startNanos;
  private long decayedNanos;
  private double workMillis;
  private boolean started;

  /** Records a grant of work, in milliseconds of one upstream. */
  void recordGranted(double millis, long nowNanos) {
    if (!started) {
      started = true;
      startNanos = nowNanos;
      decayedNanos = nowNanos;
    }
    decay(nowNanos);
    workMillis += millis;
  }

  /** Returns the work granted in a millisecond, in milliseconds of one upstream. */
  double workPerMilli(long nowNanos) {
    if (!started || nowNanos == startNanos) {
      return MINIMUM_RATE;
    }
    decay(nowNanos);
    double periodNanos = PERIOD_NANOS * (1 - Math.exp((startNanos - nowNanos) / PERIOD_NANOS));
    return Math.max(MINIMUM_RATE, workMillis * NANOS_PER_MILLI / periodNanos);
  }

  private void decay(long nowNanos) {
    workMillis *= Math.exp((decayedNanos - nowNanos) / PERIOD_NANOS);
    decayedNanos = nowNanos;
  }
}

package dev.agatepier.core.process.internal;

/**
 * Average of a measured value over a period of time: measurements have the weight of the time since
 * the one before, and the first ones at least that of an ordinary mean.
 */
final class TimedAverage {

  private static final double NANOS_PER_MILLI = 1e6;

  private final double periodMillis;
  private double value;
  private int measurements;
  private long measuredNanos;

  /**
   * Creates an average.
   *
   * @param periodMillis period after which an older measurement has a third of its weight
   * @param initial value before the first measurement
   */
  TimedAverage(double periodMillis, double initial) {
    this.periodMillis = periodMillis;
    this.value = initial;
  }

  /** Records a measurement. */
  void record(double measured, long nanos) {
    double millis = Math.max(0, (nanos - measuredNanos) / NANOS_PER_MILLI);
    measurements = Math.min(measurements + 1, Integer.MAX_VALUE - 1);
    measuredNanos = nanos;
    double weight = Math.max(1.0 / measurements, 1 - Math.exp(-millis / periodMillis));
    value += weight * (measured - value);
  }

  /** Returns the average. */
  double value() {
    return value;
  }

  /** Returns the time of the last measurement; 0 if there is none. */
  long measuredNanos() {
    return measuredNanos;
  }

  /** Returns whether anything was measured. */
  boolean isMeasured() {
    return measurements > 0;
  }
}

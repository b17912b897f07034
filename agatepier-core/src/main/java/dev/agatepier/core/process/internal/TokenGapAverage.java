package dev.agatepier.core.process.internal;

/** Exponential moving average of the time between two tokens of a stream. */
public final class TokenGapAverage {

  private static final double NEWEST_WEIGHT = 0.02;

  private double averageMillis;

  /** Adds a gap, in milliseconds. */
  public void add(double gapMillis) {
    averageMillis =
        averageMillis == 0
            ? gapMillis
            : averageMillis + NEWEST_WEIGHT * (gapMillis - averageMillis);
  }

  /** Returns the average, in milliseconds; 0 before the first gap. */
  public double averageMillis() {
    return averageMillis;
  }
}

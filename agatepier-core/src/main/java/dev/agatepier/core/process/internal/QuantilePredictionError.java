package dev.agatepier.core.process.internal;

/** Estimates the margin by steps, upwards after a request that exceeded it and downwards else. */
final class QuantilePredictionError implements PredictionError {

  /** Share of the requests that should start within the prediction and the margin. */
  private static final double QUANTILE = 0.85;

  /** Scale of the steps, in milliseconds. */
  private static final double STEP_MILLIS = 5;

  /** Upper bound: a larger margin would leave no time to wait within short objectives. */
  private static final double MAX_MARGIN_MILLIS = 200;

  private double marginMillis;

  @Override
  public void observe(double expectedMillis, double actualMillis) {
    boolean exceeded = actualMillis - expectedMillis > marginMillis;
    double changed = marginMillis + STEP_MILLIS * (exceeded ? QUANTILE : QUANTILE - 1);
    marginMillis = Math.clamp(changed, 0, MAX_MARGIN_MILLIS);
  }

  @Override
  public double marginMillis() {
    return marginMillis;
  }
}

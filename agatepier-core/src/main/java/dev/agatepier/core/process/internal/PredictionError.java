package dev.agatepier.core.process.internal;

/**
 * Tracks by how much the time to the first byte exceeds its prediction: an estimate of the quantile
 * that most requests do not exceed, which moves up after a request that exceeded it and down else.
 * A request that would be in time by the prediction alone is late in about half of all cases.
 */
final class PredictionError {

  /** Share of the requests that should start within the prediction and the margin. */
  private static final double QUANTILE = 0.85;

  /** Scale of the steps, in milliseconds. */
  private static final double STEP_MILLIS = 5;

  /** Upper bound: a larger margin would leave no time to wait within short objectives. */
  private static final double MAX_MARGIN_MILLIS = 200;

  private double marginMillis;

  /** Records a request whose response has started. */
  void observe(double expectedMillis, double actualMillis) {
    boolean exceeded = actualMillis - expectedMillis > marginMillis;
    double changed = marginMillis + STEP_MILLIS * (exceeded ? QUANTILE : QUANTILE - 1);
    marginMillis = Math.clamp(changed, 0, MAX_MARGIN_MILLIS);
  }

  /** Returns the time to add to a prediction, in milliseconds. */
  double marginMillis() {
    return marginMillis;
  }
}

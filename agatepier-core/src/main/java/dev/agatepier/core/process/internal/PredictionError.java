package dev.agatepier.core.process.internal;

/**
 * Tracks by how much the time to the first byte exceeds its prediction: an estimate of the quantile
 * that most requests do not exceed. A request that would be in time by the prediction alone is late
 * in about half of all cases.
 */
interface PredictionError {

  /** Observes nothing and needs no margin. */
  PredictionError IGNORED =
      new PredictionError() {
        @Override
        public void observe(double expectedMillis, double actualMillis) {
          // Predictions count as they are.
        }

        @Override
        public double marginMillis() {
          return 0;
        }
      };

  /** Records a request whose response has started. */
  void observe(double expectedMillis, double actualMillis);

  /** Returns the time to add to a prediction, in milliseconds. */
  double marginMillis();
}

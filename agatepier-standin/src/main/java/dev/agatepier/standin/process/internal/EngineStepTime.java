package dev.agatepier.standin.process.internal;

/** How long one step of an engine takes, in which each running stream gets one token. */
@FunctionalInterface
interface EngineStepTime {

  /** Returns the time of a step with some streams running, in nanoseconds. */
  long stepNanos(int running);

  /**
   * Flat up to the best batch, then in proportion to the streams: the engine's throughput grows up
   * to the best batch and stays the same beyond it.
   */
  static EngineStepTime of(EngineSettings settings) {
    double flatNanos = settings.tokenMillis() * 1e6;
    return running ->
        Math.round(flatNanos * Math.max(1.0, (double) running / settings.bestBatch()));
  }
}

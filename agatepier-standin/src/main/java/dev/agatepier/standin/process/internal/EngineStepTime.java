package dev.agatepier.standin.process.internal;

/** Duration of a step of an engine, in which each running stream generates one token. */
@FunctionalInterface
interface EngineStepTime {

  /** Returns the duration of a step with a number of running streams, in nanoseconds. */
  long stepNanos(int running);

  /**
   * Returns a duration that is constant up to the best batch and proportional to the running
   * streams beyond it: the engine's throughput rises up to the best batch and stays constant from
   * there on.
   */
  static EngineStepTime of(EngineSettings settings) {
    double minimumNanos = settings.tokenMillis() * 1e6;
    return running ->
        Math.round(minimumNanos * Math.max(1.0, (double) running / settings.bestBatch()));
  }
}

package dev.agatepier.standin.process.internal;

/**
 * How a model engine stand-in behaves.
 *
 * @param batch most streams that run at one time
 * @param bestBatch streams up to which the token gap stays flat
 * @param tokenMillis token gap up to the best batch, in milliseconds
 * @param prefillTokensPerSecond prompt tokens that are taken in a second, by all streams together
 * @param cachePrefixes prompt blocks whose prefill is remembered
 * @param loadLagMillis age of the load that is reported, in milliseconds
 */
record EngineSettings(
    int batch,
    int bestBatch,
    double tokenMillis,
    double prefillTokensPerSecond,
    int cachePrefixes,
    long loadLagMillis) {

  EngineSettings {
    if (batch < 1 || bestBatch < 1 || cachePrefixes < 0) {
      throw new IllegalArgumentException("a count of the engine settings is out of range");
    }
    if (!(tokenMillis > 0) || !(prefillTokensPerSecond > 0) || loadLagMillis < 1) {
      throw new IllegalArgumentException("a time or rate of the engine settings is not above 0");
    }
  }
}

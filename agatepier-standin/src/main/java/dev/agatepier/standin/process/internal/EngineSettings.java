package dev.agatepier.standin.process.internal;

/**
 * Settings of a model engine stand-in.
 *
 * @param batch maximum number of concurrently running streams
 * @param bestBatch running streams up to which the token gap is constant
 * @param tokenMillis token gap up to the best batch, in milliseconds
 * @param prefillTokensPerSecond prompt tokens prefilled per second, over all streams
 * @param cachePrefixes capacity of the prefix cache, in prompt blocks
 * @param loadLagMillis interval between samples of the reported load, which is also its maximum
 *     age, in milliseconds
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

package dev.agatepier.core.version;

/**
 * Published properties of a service's model engines.
 *
 * @param memoryTokens capacity for running requests and cached prompt parts together, in tokens
 * @param tokensPerEvent number of tokens in one event of a stream
 */
public record EngineProfile(long memoryTokens, int tokensPerEvent) {

  /** Rejects values below 1. */
  public EngineProfile {
    if (memoryTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException(
          "memoryTokens " + memoryTokens + " or tokensPerEvent " + tokensPerEvent + " is below 1");
    }
  }
}

package dev.agatepier.core.version;

/**
 * What is published about a service's model engines.
 *
 * @param memoryTokens tokens that running requests and kept prompt parts may take together
 * @param tokensPerEvent tokens in one event of a stream
 */
public record EngineProfile(long memoryTokens, int tokensPerEvent) {

  /** Checks that both are positive. */
  public EngineProfile {
    if (memoryTokens < 1 || tokensPerEvent < 1) {
      throw new IllegalArgumentException("a figure of an engine is below 1 token");
    }
  }
}

package dev.agatepier.core.version;

/**
 * What is published about the memory of a service's model engines.
 *
 * @param tokens tokens that running requests and kept prompt parts may take together
 */
public record EngineMemory(long tokens) {

  /** Checks that there is memory. */
  public EngineMemory {
    if (tokens < 1) {
      throw new IllegalArgumentException("an engine's memory is below 1 token");
    }
  }
}

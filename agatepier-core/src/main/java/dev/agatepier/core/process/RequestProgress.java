package dev.agatepier.core.process;

import java.util.Objects;

/**
 * What is known of a request that has not ended.
 *
 * @param running whether a sidecar has it; otherwise it waits
 * @param facts what it cost and how long it took so far
 */
public record RequestProgress(boolean running, RequestMetadata facts) {

  /** Checks that the facts are present. */
  public RequestProgress {
    Objects.requireNonNull(facts, "facts");
  }
}

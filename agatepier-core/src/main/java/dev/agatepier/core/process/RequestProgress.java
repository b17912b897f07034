package dev.agatepier.core.process;

import java.util.Objects;

/**
 * State of a request that has not ended.
 *
 * @param running whether the request is running; false if it waits
 * @param facts attempts, times and cost so far
 */
public record RequestProgress(boolean running, RequestMetadata facts) {

  /** Checks that the metadata is present. */
  public RequestProgress {
    Objects.requireNonNull(facts, "facts");
  }
}

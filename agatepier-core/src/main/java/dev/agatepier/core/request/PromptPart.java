package dev.agatepier.core.request;

import java.util.Objects;

/**
 * One part of a prompt. Engines keep parts that they have read, so that a request whose first parts
 * are kept need not have them read again.
 *
 * @param identity names model and content; equal parts for one model have equal identities
 * @param tokens length in tokens
 */
public record PromptPart(String identity, int tokens) {

  /** Checks that the part is named and its length is not negative. */
  public PromptPart {
    Objects.requireNonNull(identity, "identity");
    if (tokens < 0) {
      throw new IllegalArgumentException("a prompt part has " + tokens + " tokens");
    }
  }
}

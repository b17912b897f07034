package dev.agatepier.core.request;

import java.util.Objects;

/**
 * One part of a prompt. Engines cache the prefill of parts, so that a request needs no prefill for
 * a cached prefix.
 *
 * @param identity identifies the content and the model; equal parts of one model have equal
 *     identities
 * @param tokens length in tokens
 */
public record PromptPart(String identity, int tokens) {

  /** Rejects a null identity and a negative length. */
  public PromptPart {
    Objects.requireNonNull(identity, "identity");
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens " + tokens + " is negative");
    }
  }
}

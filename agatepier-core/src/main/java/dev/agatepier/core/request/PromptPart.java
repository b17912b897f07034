package dev.agatepier.core.request;

import java.util.List;
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

  /** Returns the length of some parts together, in tokens. */
  public static int sumTokens(List<PromptPart> parts) {
    int sum = 0;
    for (PromptPart part : parts) {
      sum += part.tokens;
    }
    return sum;
  }
}

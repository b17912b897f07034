package dev.agatepier.core.request;

import java.util.List;
import java.util.Objects;

/**
 * What a caller says about a model request before it runs.
 *
 * @param model name of the model
 * @param promptTokens length of the whole prompt, in tokens
 * @param outputTokens expected length of the answer, in tokens
 * @param parts parts of the prompt in order; the last one belongs to the request or its session
 */
public record PromptMetadata(
    String model, int promptTokens, int outputTokens, List<PromptPart> parts) {

  /** Checks the numbers and copies the parts. */
  public PromptMetadata {
    Objects.requireNonNull(model, "model");
    parts = List.copyOf(parts);
    if (promptTokens < 0 || outputTokens < 0) {
      throw new IllegalArgumentException("a prompt fact is negative");
    }
  }
}

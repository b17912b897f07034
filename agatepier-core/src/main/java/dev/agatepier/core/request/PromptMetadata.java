package dev.agatepier.core.request;

import java.util.List;
import java.util.Objects;

/**
 * Description of a model request's prompt, given by the caller before the request runs.
 *
 * @param model name of the model
 * @param promptTokens length of the complete prompt, in tokens
 * @param outputTokens expected length of the response, in tokens
 * @param parts parts of the prompt in order; only the last part is specific to the request or its
 *     session
 */
public record PromptMetadata(
    String model, int promptTokens, int outputTokens, List<PromptPart> parts) {

  /** Cost of an output token relative to a prompt token; the platform uses the same weight. */
  private static final double OUTPUT_TOKEN_COST = 2;

  /** Time that an engine takes for an output token, relative to a prompt token. */
  private static final long OUTPUT_TOKEN_SIZE = 10;

  /** Rejects a null model and negative numbers; copies the parts. */
  public PromptMetadata {
    Objects.requireNonNull(model, "model");
    parts = List.copyOf(parts);
    if (promptTokens < 0 || outputTokens < 0) {
      throw new IllegalArgumentException(
          "promptTokens " + promptTokens + " or outputTokens " + outputTokens + " is negative");
    }
  }

  /** Returns the size of the request: about the time that an engine takes, in prompt tokens. */
  public long size() {
    return promptTokens + OUTPUT_TOKEN_SIZE * outputTokens;
  }

  /** Returns the expected cost of the request, in prompt tokens. */
  public double expectedCost() {
    return cost(outputTokens);
  }

  /** Returns the cost of the request for a length of the response, in prompt tokens. */
  public double cost(long responseTokens) {
    return promptTokens + OUTPUT_TOKEN_COST * responseTokens;
  }

  /** Returns the parts that other requests may have too: all but the last. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }
}

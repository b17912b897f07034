package dev.agatepier.core.request;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Description of a model request's prompt, given by the caller before the request runs.
 *
 * @param model name of the model
 * @param promptTokens length of the complete prompt, in tokens
 * @param outputTokens expected length of the response, in tokens
 * @param maximumOutputTokens length that the response does not exceed, in tokens; 0 if unknown
 * @param lengthHint the caller's own estimate of the length of the response, in tokens; empty if it
 *     gave none
 * @param parts parts of the prompt in order; only the last part is specific to the request or its
 *     session
 */
public record PromptMetadata(
    String model,
    int promptTokens,
    int outputTokens,
    int maximumOutputTokens,
    OptionalInt lengthHint,
    List<PromptPart> parts) {

  /** Cost of an output token relative to a prompt token; the platform uses the same weight. */
  private static final double OUTPUT_TOKEN_COST = 2;

  /** Time that an engine takes for an output token, relative to a prompt token. */
  private static final long OUTPUT_TOKEN_SIZE = 10;

  /** Creates a description without a maximum and without an estimate of the caller. */
  public PromptMetadata(String model, int promptTokens, int outputTokens, List<PromptPart> parts) {
    this(model, promptTokens, outputTokens, 0, OptionalInt.empty(), parts);
  }

  /** Rejects a null model and negative numbers; copies the parts. */
  public PromptMetadata {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(lengthHint, "lengthHint");
    parts = List.copyOf(parts);
    if (promptTokens < 0
        || outputTokens < 0
        || maximumOutputTokens < 0
        || lengthHint.orElse(0) < 0) {
      throw new IllegalArgumentException(
          "promptTokens "
              + promptTokens
              + ", outputTokens "
              + outputTokens
              + ", maximumOutputTokens "
              + maximumOutputTokens
              + " or lengthHint "
              + lengthHint
              + " is negative");
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

  /** Returns the length of the parts that other requests may have too, in tokens. */
  public int sharedTokens() {
    return PromptPart.sumTokens(sharedParts());
  }

  /** Returns the tokens that no other request has. */
  public int ownTokens() {
    return Math.max(0, promptTokens - sharedTokens());
  }
}

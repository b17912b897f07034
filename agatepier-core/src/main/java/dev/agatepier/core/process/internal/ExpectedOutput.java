package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.Optional;

/**
 * Output tokens that a response is expected to have in the memory of its engine at its end.
 *
 * @param tokens expected tokens
 * @param variance mean square of the error of that expectation. Responses err independently of each
 *     other, so the variances of several add up, and not the errors.
 */
record ExpectedOutput(double tokens, double variance) {

  private static final ExpectedOutput NONE = new ExpectedOutput(0, 0);

  /** Returns what the prompt states, without an error; nothing for a request without a prompt. */
  static ExpectedOutput stated(Optional<PromptMetadata> prompt) {
    return prompt.map(stated -> new ExpectedOutput(stated.outputTokens(), 0)).orElse(NONE);
  }

  /**
   * Returns the expectation once some tokens have been generated: not fewer than those, and not
   * more than the maximum.
   *
   * @param maximumTokens length that the response does not exceed; 0 if unknown
   */
  ExpectedOutput within(double generatedTokens, int maximumTokens) {
    double bound = maximumTokens == 0 ? Double.POSITIVE_INFINITY : maximumTokens;
    double bounded = Math.min(bound, Math.max(tokens, generatedTokens));
    double possibleError = bound - bounded;
    return new ExpectedOutput(bounded, Math.min(variance, possibleError * possibleError));
  }
}

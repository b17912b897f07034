package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.version.Table;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Corrects the expected lengths of responses by what earlier responses of the workspace showed: how
 * long they were relative to the caller's estimate, or to the maximum where the caller gave none.
 * Responds to callers whose estimates are far off, so that memory of engines is neither promised
 * twice nor left unused. Only the workspace that gives wrong estimates is held to their error.
 */
final class ResponseLengths {

  /** Responses of a workspace before which the stated lengths count. */
  private static final int MINIMUM_OBSERVED = 8;

  /** Least weight of the newest response: about the last twenty count. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final Map<String, Workspace> workspaces = new HashMap<>();

  /** Whether the corrections count; the stated lengths do otherwise. */
  private boolean applied;

  /** Mean and variance of a moving window of ratios. */
  private static final class Ratios {
    private double mean;
    private double variance;
    private int observed;

    private void add(double ratio) {
      observed = Math.min(observed + 1, Integer.MAX_VALUE - 1);
      double weight = Math.max(1.0 / observed, NEWEST_WEIGHT);
      double difference = ratio - mean;
      mean += weight * difference;
      variance = (1 - weight) * (variance + weight * difference * difference);
    }
  }

  /** Ratios of the responses with and without an estimate of the caller. */
  private static final class Workspace {
    private final Ratios toHint = new Ratios();
    private final Ratios toMaximum = new Ratios();

    private Ratios of(PromptMetadata prompt) {
      return prompt.lengthHint().isPresent() ? toHint : toMaximum;
    }
  }

  /** Sets whether the corrections count. */
  void setApplied(boolean newApplied) {
    applied = newApplied;
  }

  /** Returns whether the corrections count. */
  boolean applied() {
    return applied;
  }

  /** Records the length of a complete response. */
  void observe(String workspace, PromptMetadata prompt, long generatedTokens) {
    int reference = reference(prompt);
    if (reference > 0) {
      workspaces
          .computeIfAbsent(workspace, name -> new Workspace())
          .of(prompt)
          .add((double) generatedTokens / reference);
    }
  }

  /** Returns the expected length of the response to a request that has not started. */
  ExpectedOutput expected(String workspace, Optional<PromptMetadata> prompt) {
    Workspace observed = applied ? workspaces.get(workspace) : null;
    if (observed == null || prompt.isEmpty() || reference(prompt.get()) == 0) {
      return ExpectedOutput.stated(prompt);
    }
    Ratios ratios = observed.of(prompt.get());
    double reference = reference(prompt.get());
    return ratios.observed < MINIMUM_OBSERVED
        ? ExpectedOutput.stated(prompt)
        : new ExpectedOutput(reference * ratios.mean, reference * reference * ratios.variance)
            .within(0, prompt.get().maximumOutputTokens());
  }

  /** Drops what is known of workspaces that a table version does not contain. */
  void activate(Table table) {
    workspaces.keySet().removeIf(name -> table.workspace(name).isEmpty());
  }

  private static int reference(PromptMetadata prompt) {
    return prompt.lengthHint().orElse(prompt.maximumOutputTokens());
  }
}

package dev.agatepier.standin.process.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the fairness gap between workspaces. For each pair of backlogged workspaces, it sums the
 * difference of the cost received per weight since both became backlogged; the gap is the largest
 * difference of all pairs.
 */
final class FairnessGap {

  /**
   * Cost that a backlogged workspace has received so far.
   *
   * @param perWeight received cost divided by the weight
   * @param weight weight of the workspace
   */
  record Received(double perWeight, double weight) {}

  /**
   * The gap at one sample.
   *
   * @param perWeight largest difference of a pair, in cost per weight
   * @param imbalance largest difference of a pair divided by the sum of its inverse weights, in
   *     cost units; its limit is the unaccounted cost of the fairness bound
   */
  record Gap(double perWeight, double imbalance) {}

  private record Pair(String first, String second) {}

  private final Map<Pair, Double> differences = new HashMap<>();
  private Map<String, Received> previous = Map.of();

  /** Adds a sample of what each backlogged workspace has received, and returns the current gap. */
  Gap sample(Map<String, Received> received) {
    differences.keySet().removeIf(pair -> !containsBoth(received, pair));
    double perWeight = 0;
    double imbalance = 0;
    for (String first : received.keySet()) {
      for (String second : received.keySet()) {
        if (first.compareTo(second) < 0) {
          double gap = Math.abs(advance(new Pair(first, second), received));
          perWeight = Math.max(perWeight, gap);
          double inverseWeights =
              1 / received.get(first).weight() + 1 / received.get(second).weight();
          imbalance = Math.max(imbalance, gap / inverseWeights);
        }
      }
    }
    previous = Map.copyOf(received);
    return new Gap(perWeight, imbalance);
  }

  private double advance(Pair pair, Map<String, Received> now) {
    if (!containsBoth(previous, pair)) {
      return differences.merge(pair, 0.0, (old, zero) -> zero);
    }
    double change = increase(pair.first(), now) - increase(pair.second(), now);
    return differences.merge(pair, change, Double::sum);
  }

  private double increase(String workspace, Map<String, Received> now) {
    return now.get(workspace).perWeight() - previous.get(workspace).perWeight();
  }

  private static boolean containsBoth(Map<String, Received> values, Pair pair) {
    return values.containsKey(pair.first()) && values.containsKey(pair.second());
  }
}

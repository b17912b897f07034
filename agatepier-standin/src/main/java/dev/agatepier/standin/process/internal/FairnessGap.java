package dev.agatepier.standin.process.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Follows how far apart the service of two workspaces gets while both have work waiting: the cost
 * received per weight since both began to wait, the largest difference over all pairs.
 */
final class FairnessGap {

  /**
   * What a workspace with work waiting has received so far.
   *
   * @param perWeight cost per weight
   * @param weight its weight
   */
  record Received(double perWeight, double weight) {}

  /**
   * The gap at one time.
   *
   * @param perWeight largest difference of a pair, in cost per weight
   * @param imbalance largest difference of a pair divided by the sum of its inverse weights, in
   *     cost units; a fairness bound's unseen cost limits it
   */
  record Gap(double perWeight, double imbalance) {}

  private record Pair(String first, String second) {}

  private final Map<Pair, Double> differences = new HashMap<>();
  private Map<String, Received> before = Map.of();

  /** Takes what each workspace with work waiting has received and returns the gap now. */
  Gap sample(Map<String, Received> received) {
    differences.keySet().removeIf(pair -> !both(received, pair));
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
    before = Map.copyOf(received);
    return new Gap(perWeight, imbalance);
  }

  private double advance(Pair pair, Map<String, Received> now) {
    if (!both(before, pair)) {
      return differences.merge(pair, 0.0, (old, zero) -> zero);
    }
    double change = growth(pair.first(), now) - growth(pair.second(), now);
    return differences.merge(pair, change, Double::sum);
  }

  private double growth(String workspace, Map<String, Received> now) {
    return now.get(workspace).perWeight() - before.get(workspace).perWeight();
  }

  private static boolean both(Map<String, Received> values, Pair pair) {
    return values.containsKey(pair.first()) && values.containsKey(pair.second());
  }
}

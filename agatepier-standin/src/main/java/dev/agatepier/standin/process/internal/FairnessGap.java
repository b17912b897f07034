package dev.agatepier.standin.process.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Follows how far apart the service of two workspaces gets while both have work waiting: the cost
 * received per weight since both began to wait, the largest difference over all pairs.
 */
final class FairnessGap {

  private record Pair(String first, String second) {}

  private final Map<Pair, Double> differences = new HashMap<>();
  private Map<String, Double> before = Map.of();

  /**
   * Takes a sample and returns the gap now, in cost per weight.
   *
   * @param normalizedCost cost received so far per weight, of each workspace with work waiting
   */
  double sample(Map<String, Double> normalizedCost) {
    differences.keySet().removeIf(pair -> !both(normalizedCost, pair));
    double gap = 0;
    for (String first : normalizedCost.keySet()) {
      for (String second : normalizedCost.keySet()) {
        if (first.compareTo(second) < 0) {
          gap = Math.max(gap, Math.abs(advance(new Pair(first, second), normalizedCost)));
        }
      }
    }
    before = Map.copyOf(normalizedCost);
    return gap;
  }

  private double advance(Pair pair, Map<String, Double> now) {
    if (!both(before, pair)) {
      return differences.merge(pair, 0.0, (old, zero) -> zero);
    }
    double change =
        (now.get(pair.first()) - before.get(pair.first()))
            - (now.get(pair.second()) - before.get(pair.second()));
    return differences.merge(pair, change, Double::sum);
  }

  private static boolean both(Map<String, Double> values, Pair pair) {
    return values.containsKey(pair.first()) && values.containsKey(pair.second());
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Compares how often requests of each size get a slot with how often all requests of their route
 * do. Sizes are expected costs, rounded to steps of half a doubling. Earlier requests of a route
 * lose weight with each new one.
 */
final class SizeFairness {

  /** Minimum rate at which requests of each size get slots, relative to all of their route. */
  private static final double MINIMUM_SHARE = 0.5;

  /** Factor by which each request multiplies the weight of the earlier ones of its route. */
  private static final double DECAY_FACTOR = 0.995;

  private static final double STEPS_PER_DOUBLING = 2;

  private final Map<String, RouteCounts> routes = new HashMap<>();

  /** Weighted counts of the requests that arrived and of those that got a slot. */
  private static final class Counts {
    private double arrived;
    private double granted;

    private void decay() {
      arrived *= DECAY_FACTOR;
      granted *= DECAY_FACTOR;
    }
  }

  /** Counts of one route, in total and by size. */
  private static final class RouteCounts {
    private final Counts total = new Counts();
    private final Map<Integer, Counts> bySize = new HashMap<>();

    private Counts ofSize(PromptMetadata prompt) {
      return bySize.computeIfAbsent(step(prompt), size -> new Counts());
    }
  }

  /**
   * Records the arrival of a request.
   *
   * @return whether requests of its size have been underserved
   */
  boolean recordArrived(String route, PromptMetadata prompt) {
    RouteCounts counts = routes.computeIfAbsent(route, name -> new RouteCounts());
    counts.total.decay();
    counts.bySize.values().forEach(Counts::decay);
    Counts size = counts.ofSize(prompt);
    counts.total.arrived++;
    size.arrived++;
    return size.granted * counts.total.arrived
        < MINIMUM_SHARE * size.arrived * counts.total.granted;
  }

  /** Records that a request got a slot. */
  void recordGranted(String route, PromptMetadata prompt) {
    RouteCounts counts = routes.get(route);
    if (counts != null) {
      counts.total.granted++;
      counts.ofSize(prompt).granted++;
    }
  }

  /** Drops the counts of all routes but the given ones. */
  void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }

  private static int step(PromptMetadata prompt) {
    double doublings = Math.log(Math.max(1, prompt.expectedCost())) / Math.log(2);
    return (int) Math.round(STEPS_PER_DOUBLING * doublings);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Compares how often requests of each size are served with how often all requests of their route
 * are. A request counts as served from its first slot on, unless it fails later. Sizes are rounded
 * to steps of half a doubling. Earlier requests of a route lose weight with each new one.
 */
final class SizeFairness {

  /** Minimum rate at which requests of each size are served, relative to all of their route. */
  private static final double MINIMUM_SHARE = 0.5;

  /** Factor by which each request multiplies the weight of the earlier ones of its route. */
  private static final double DECAY_FACTOR = 0.995;

  private static final double STEPS_PER_DOUBLING = 2;

  private final Map<String, RouteCounts> routes = new HashMap<>();

  /** Weighted counts of the requests that arrived and of those that are served. */
  private static final class Counts {
    private double arrived;
    private double served;

    private void decay() {
      arrived *= DECAY_FACTOR;
      served *= DECAY_FACTOR;
    }

    private void addServed(int change) {
      served = Math.max(0, served + change);
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
    return size.served * counts.total.arrived < MINIMUM_SHARE * size.arrived * counts.total.served;
  }

  /** Records that a request got its first slot. */
  void recordGranted(String route, PromptMetadata prompt) {
    addServed(route, prompt, 1);
  }

  /** Records that a request which had got a slot has failed. */
  void recordFailed(String route, PromptMetadata prompt) {
    addServed(route, prompt, -1);
  }

  private void addServed(String route, PromptMetadata prompt, int change) {
    RouteCounts counts = routes.get(route);
    if (counts != null) {
      counts.total.addServed(change);
      counts.ofSize(prompt).addServed(change);
    }
  }

  /** Drops the counts of all routes but the given ones. */
  void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }

  private static int step(PromptMetadata prompt) {
    double doublings = Math.log(Math.max(1, prompt.size())) / Math.log(2);
    return (int) Math.round(STEPS_PER_DOUBLING * doublings);
  }
}

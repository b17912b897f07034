package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Moving averages, by route, of how long requests wait for a slot and how long an attempt takes
 * from its start to the end of the response. The time of an attempt is proportional to the size of
 * its prompt, if it has one.
 */
final class RouteTimes {

  /** Weight of the newest observation. */
  private static final double NEWEST_WEIGHT = 0.125;

  private final Map<String, Times> routes = new HashMap<>();

  /** Averages of one route, in nanoseconds; an attempt's are for one unit of size. */
  private static final class Times {
    private double waitNanos;
    private double runNanos;
    private double runDeviationNanos;
  }

  /** Records that a request got a slot after a wait. */
  void recordWait(String route, long nanos) {
    Times times = times(route);
    times.waitNanos += NEWEST_WEIGHT * (nanos - times.waitNanos);
  }

  /** Records the time of an attempt whose response is complete. */
  void recordRun(String route, Optional<PromptMetadata> prompt, long nanos) {
    Times times = times(route);
    double unitNanos = nanos / size(prompt);
    if (times.runNanos == 0) {
      times.runNanos = unitNanos;
    }
    double deviation = Math.abs(unitNanos - times.runNanos);
    times.runNanos += NEWEST_WEIGHT * (unitNanos - times.runNanos);
    times.runDeviationNanos += NEWEST_WEIGHT * (deviation - times.runDeviationNanos);
  }

  /** Returns the expected wait of a request that arrives now; 0 if none was observed. */
  long waitNanos(String route) {
    Times times = routes.get(route);
    return times == null ? 0 : (long) times.waitNanos;
  }

  /** Returns the time that most attempts do not exceed; 0 if none was observed. */
  long runNanos(String route, Optional<PromptMetadata> prompt) {
    Times times = routes.get(route);
    return times == null ? 0 : (long) ((times.runNanos + times.runDeviationNanos) * size(prompt));
  }

  /** Drops the averages of all routes but the given ones. */
  void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }

  private Times times(String route) {
    return routes.computeIfAbsent(route, name -> new Times());
  }

  private static double size(Optional<PromptMetadata> prompt) {
    return prompt.map(PromptMetadata::size).filter(size -> size > 0).orElse(1L);
  }
}

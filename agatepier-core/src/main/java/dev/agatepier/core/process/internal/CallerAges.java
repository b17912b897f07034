package dev.agatepier.core.process.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Estimates for how long callers have been trying. A caller that repeats a rejected request states
 * the time that it still waits, which is less than what it stated first. Most first requests of a
 * route state the same time, so the difference from that is the age. Callers may differ in the time
 * that they wait; therefore the differences count only while about as many requests are rejected.
 */
final class CallerAges {

  /** Width of the ranges in which stated times are counted, in milliseconds. */
  private static final long RANGE_MILLIS = 128;

  /** Factor by which each request multiplies the weight of the earlier ones of its route. */
  private static final double DECAY_FACTOR = 0.995;

  /** Share of the requests of a route from which on the time that they state is usual. */
  private static final double USUAL_SHARE = 0.2;

  /** Weight below which a range is dropped. */
  private static final double MINIMUM_WEIGHT = 0.01;

  /** Repeated requests that are believed for each rejected one. */
  private static final double REPEATS_PER_REJECTION = 2;

  private final Map<String, StatedTimes> routes = new HashMap<>();

  /** Weighted counts of one route. */
  private static final class StatedTimes {
    private final TreeMap<Long, Double> ranges = new TreeMap<>();
    private final Map<Long, Long> longest = new HashMap<>();
    private double total;
    private double rejected;
    private double repeated;

    private void add(long millis) {
      total = total * DECAY_FACTOR + 1;
      rejected *= DECAY_FACTOR;
      repeated *= DECAY_FACTOR;
      ranges.replaceAll((range, weight) -> weight * DECAY_FACTOR);
      if (ranges.values().removeIf(weight -> weight < MINIMUM_WEIGHT)) {
        longest.keySet().retainAll(ranges.keySet());
      }
      long range = Math.floorDiv(millis, RANGE_MILLIS);
      ranges.merge(range, 1.0, Double::sum);
      longest.merge(range, millis, Math::max);
    }

    /**
     * Returns the longest time that is usual; 0 if none is. Times close to the end of a range are
     * divided over two.
     */
    private long usualMillis() {
      for (Map.Entry<Long, Double> range : ranges.descendingMap().entrySet()) {
        double weight = range.getValue() + ranges.getOrDefault(range.getKey() - 1, 0.0);
        if (weight >= USUAL_SHARE * total) {
          return longest.get(range.getKey());
        }
      }
      return 0;
    }
  }

  /**
   * Records the arrival of a request.
   *
   * @param timeLeftMillis time that its caller still waits, in milliseconds
   * @return time since the caller first sent it, in milliseconds; 0 if it is probably new
   */
  long recordArrived(String route, long timeLeftMillis) {
    StatedTimes times = routes.computeIfAbsent(route, name -> new StatedTimes());
    times.add(timeLeftMillis);
    long usualMillis = times.usualMillis();
    long ageMillis = usualMillis - timeLeftMillis;
    if (ageMillis <= RANGE_MILLIS || ageMillis > usualMillis / 2) {
      return 0;
    }
    times.repeated++;
    return times.repeated <= REPEATS_PER_REJECTION * times.rejected ? ageMillis : 0;
  }

  /** Records that a request was rejected. */
  void recordRejected(String route) {
    StatedTimes times = routes.get(route);
    if (times != null) {
      times.rejected++;
    }
  }

  /** Drops the counts of all routes but the given ones. */
  void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }
}

package dev.agatepier.core.process.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Lasting speeds of upstreams or data centres, by which prefixes get their homes. They respond to
 * engines that differ for long and not to those that other programs slow for a moment: each home
 * that moves is prefilled again.
 */
final class SmoothedSpeeds {

  /** Period of the average, a hundred times as long as other programs slow an engine. */
  private static final double PERIOD_MILLIS = 60_000;

  /**
   * Share by which the average has to differ before a speed follows it. Without it a few prefixes
   * change their homes with each measurement.
   */
  private static final double TOLERANCE = 0.2;

  private final Map<String, Speed> speeds = new HashMap<>();

  private static final class Speed {
    private final TimedAverage average = new TimedAverage(PERIOD_MILLIS, 0);
    private double inUse;
  }

  /** Records the speed of something as measured now. */
  void record(String name, double measured, long nowNanos) {
    Speed speed = speeds.computeIfAbsent(name, key -> new Speed());
    speed.average.record(measured, nowNanos);
    double average = speed.average.value();
    if (Math.abs(average - speed.inUse) > TOLERANCE * speed.inUse) {
      speed.inUse = average;
    }
  }

  /** Forgets all others. */
  void retain(Set<String> names) {
    speeds.keySet().retainAll(names);
  }

  /** Returns the speed of something; the average of the known ones if it has none. */
  double get(String name) {
    Speed speed = speeds.get(name);
    return speed == null
        ? speeds.values().stream().mapToDouble(known -> known.inUse).average().orElse(1)
        : speed.inUse;
  }
}

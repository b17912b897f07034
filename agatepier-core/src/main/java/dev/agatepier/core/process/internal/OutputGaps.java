package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.Route;
import dev.agatepier.core.version.Table;

/**
 * How long an engine may take for an output token so that streams keep the gaps of their routes.
 */
final class OutputGaps {

  /**
   * Share of the allowed gap that events may take on average. Machines are slowed up to 2.5 times
   * for a moment, and the longest pause of a response must stay within the gap.
   */
  private static final double MEAN_SHARE = 0.4;

  private OutputGaps() {}

  /**
   * Returns the longest average time for an output token, in milliseconds, by the shortest gap of
   * the routes of a service; infinite if none has a gap.
   */
  static double maximumTokenMillis(Table table, String service, EngineProfile engine) {
    long gapMillis = Long.MAX_VALUE;
    for (Route route : table.routes().routes()) {
      boolean leadsHere =
          route.services().stream().anyMatch(weighted -> weighted.service().equals(service));
      if (leadsHere && route.plan().gapMillis() > 0) {
        gapMillis = Math.min(gapMillis, route.plan().gapMillis());
      }
    }
    return gapMillis == Long.MAX_VALUE
        ? Double.POSITIVE_INFINITY
        : MEAN_SHARE * gapMillis / engine.tokensPerEvent();
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.Optional;

/**
 * Decides which requests a router that is about to stop can still serve. One that would not get a
 * slot early enough to be completed is rejected as soon as this is known, so that its caller can
 * use another router. One without a response at the end of the stop fails instead of losing its
 * connection.
 */
final class StopSchedule {

  private final RouteTimes times;
  private boolean announced;
  private long endNanos;

  /** Creates a schedule without a stop. */
  StopSchedule(RouteTimes times) {
    this.times = times;
  }

  /**
   * Announces the stop.
   *
   * @param stopEndNanos time by which every request must have ended
   */
  void announce(long stopEndNanos) {
    announced = true;
    endNanos = stopEndNanos;
  }

  /** Returns whether a request that arrives now would be completed. */
  boolean canServe(String route, Optional<PromptMetadata> prompt, long nowNanos) {
    return !announced || startsInTime(route, nowNanos, latestStartNanos(route, prompt));
  }

  /** Returns when a request fails unless it gets a slot or its response starts before. */
  long timerNanos(RoutedRequest request, long nowNanos) {
    if (!announced) {
      return request.deadlineNanos;
    }
    return switch (request.phase) {
      case WAITING, PARKED -> Math.min(request.deadlineNanos, waitEndNanos(request, nowNanos));
      case RUNNING -> Math.min(request.deadlineNanos, endNanos);
      case WITHDRAWN -> request.timerNanos;
    };
  }

  /** Returns when a request may no longer start; now, if it is not expected to start before. */
  private long waitEndNanos(RoutedRequest request, long nowNanos) {
    String route = request.plan.route();
    long latestStartNanos = latestStartNanos(route, request.call.prompt());
    return startsInTime(route, request.arrivedNanos, latestStartNanos)
        ? latestStartNanos
        : nowNanos;
  }

  private boolean startsInTime(String route, long arrivedNanos, long latestStartNanos) {
    return arrivedNanos + times.waitNanos(route) <= latestStartNanos;
  }

  private long latestStartNanos(String route, Optional<PromptMetadata> prompt) {
    return endNanos - times.runNanos(route, prompt);
  }
}

package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Retry, timeout and latency settings for the calls of one route.
 *
 * @param route name of the route, used in logs
 * @param idempotent whether a call may safely run more than once
 * @param resumable whether an interrupted stream may be resumed on another upstream
 * @param streaming whether the response is a stream of events that are forwarded as they arrive
 * @param attempts maximum number of attempts of one call, each on an upstream
 * @param timeoutMillis maximum duration of a call, in milliseconds
 * @param objectiveMillis target time until the response, or its first event, arrives, in
 *     milliseconds
 * @param gapMillis target for the longest pause between two events, in milliseconds; 0 for none
 * @param priority priority; 0 is the highest
 */
public record CallPlan(
    String route,
    boolean idempotent,
    boolean resumable,
    boolean streaming,
    int attempts,
    long timeoutMillis,
    long objectiveMillis,
    long gapMillis,
    int priority) {

  /** Rejects a null route and values out of range. */
  public CallPlan {
    Objects.requireNonNull(route, "route");
    if (attempts < 1 || timeoutMillis < 1) {
      throw new IllegalArgumentException(
          "attempts " + attempts + " or timeoutMillis " + timeoutMillis + " is below 1");
    }
    if (objectiveMillis < 0 || gapMillis < 0 || priority < 0) {
      throw new IllegalArgumentException(
          "objectiveMillis "
              + objectiveMillis
              + ", gapMillis "
              + gapMillis
              + " or priority "
              + priority
              + " is negative");
    }
  }

  /** Returns whether a call may be retried although the earlier attempt may have run. */
  public boolean repeatable() {
    return idempotent || resumable;
  }
}

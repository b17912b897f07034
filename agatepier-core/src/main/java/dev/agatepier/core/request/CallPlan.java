package dev.agatepier.core.request;

import java.util.Objects;

/**
 * What operators want for the calls of one route.
 *
 * @param route name of the route, for logs
 * @param idempotent whether running a call twice is harmless
 * @param resumable whether a broken stream may go on at another upstream
 * @param streaming whether the answer is a stream of events, passed on as they come
 * @param attempts most upstreams that one call may run on
 * @param timeoutMillis longest time a call may take, in milliseconds
 * @param objectiveMillis time until the answer, or its first event, is due, in milliseconds
 * @param gapMillis longest pause between two events that is still good, in milliseconds; 0 for none
 * @param priority rank; 0 is the highest
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

  /** Checks that every value is in range. */
  public CallPlan {
    Objects.requireNonNull(route, "route");
    if (attempts < 1 || timeoutMillis < 1) {
      throw new IllegalArgumentException("a call plan allows no attempt or no time");
    }
    if (objectiveMillis < 0 || gapMillis < 0 || priority < 0) {
      throw new IllegalArgumentException("a value of a call plan is negative");
    }
  }

  /** Returns whether a call may be sent again although it may have run. */
  public boolean repeatable() {
    return idempotent || resumable;
  }
}

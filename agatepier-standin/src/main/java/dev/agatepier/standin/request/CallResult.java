package dev.agatepier.standin.request;

import java.util.Objects;

/**
 * What came of one call.
 *
 * @param workspace the workspace that called
 * @param call the call
 * @param outcome how it ended
 * @param reason reason that the fleet gave, or what broke; empty for none
 * @param request name that the fleet gave the request; empty for none
 * @param waitNanos time to the first byte of the answer, in nanoseconds
 * @param totalNanos time to the end, in nanoseconds
 */
public record CallResult(
    String workspace,
    ServiceCall call,
    CallOutcome outcome,
    String reason,
    String request,
    long waitNanos,
    long totalNanos) {

  /** Checks that every part is present. */
  public CallResult {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(call, "call");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(request, "request");
  }

  /** Returns the cost that the caller received: that of the whole answer, or none. */
  public long cost() {
    return outcome == CallOutcome.COMPLETED ? call.cost() : 0;
  }

  /** Returns the result with both times longer by a delay before the call was made. */
  public CallResult withStartDelay(long delayNanos) {
    return new CallResult(
        workspace, call, outcome, reason, request, waitNanos + delayNanos, totalNanos + delayNanos);
  }
}

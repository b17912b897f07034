package dev.agatepier.standin.request;

import java.util.Objects;

/**
 * Result of one call.
 *
 * @param workspace the workspace that called
 * @param call the call
 * @param outcome outcome as observed by the caller
 * @param reason reason of the fleet's error, or class name of the failure; empty for none
 * @param request identifier that the fleet assigned to the request; empty for none
 * @param waitNanos time to the first byte of the response body, in nanoseconds
 * @param totalNanos time to the end of the response, in nanoseconds
 */
public record CallResult(
    String workspace,
    ServiceCall call,
    CallOutcome outcome,
    String reason,
    String request,
    long waitNanos,
    long totalNanos) {

  /** Rejects null components. */
  public CallResult {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(call, "call");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(request, "request");
  }

  /** Returns the cost that the caller received: that of the complete response, or 0. */
  public long cost() {
    return outcome == CallOutcome.COMPLETED ? call.cost() : 0;
  }

  /** Returns a copy whose times include a delay between the intended and the actual start. */
  public CallResult withStartDelay(long delayNanos) {
    return new CallResult(
        workspace, call, outcome, reason, request, waitNanos + delayNanos, totalNanos + delayNanos);
  }
}

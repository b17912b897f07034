package dev.agatepier.wire.request;

import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.CallerBounds;

/** How callers speak: what the heads of their requests mean, and how failures are told. */
public interface CallDialect {

  /** Returns the bounds on what a caller may send at present. */
  CallerBounds bounds();

  /** Returns the name that the caller gave to its request; empty for none. */
  String label(ReceivedHead head);

  /**
   * Judges the head of a request.
   *
   * @param nowNanos reading of the process's clock when the head came
   * @throws CallRejectedException if the request is not taken
   */
  AcceptedCall accept(ReceivedHead head, long nowNanos);

  /**
   * Returns the answer to a request that the fleet does not serve.
   *
   * @param label name that the caller gave to its request; empty if it is not known
   * @param outcome what is known about whether it ran
   * @param reason why
   * @param retryAfterMillis when a resend may succeed, in milliseconds; 0 for no advice
   */
  FleetResponse failureResponse(
      String label, Outcome outcome, Reason reason, long retryAfterMillis);
}

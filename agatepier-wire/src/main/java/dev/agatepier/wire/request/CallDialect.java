package dev.agatepier.wire.request;

import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.CallerBounds;

/**
 * The protocol that callers use: interprets the heads of their requests and builds the responses to
 * failed ones.
 */
public interface CallDialect {

  /** Returns the current bounds on what a caller may send. */
  CallerBounds bounds();

  /** Returns the label that the caller gave to its request; empty if it gave none. */
  String label(ReceivedHead head);

  /**
   * Validates the head of a request.
   *
   * @param nowNanos when the head was received, in nanoseconds of the process's monotonic clock
   * @throws CallRejectedException if the request is rejected
   */
  AcceptedCall accept(ReceivedHead head, long nowNanos);

  /**
   * Returns the response to a request that the fleet did not serve.
   *
   * @param label label that the caller gave to its request; empty if unknown
   * @param outcome what is known about whether the request ran
   * @param reason why the request failed
   * @param retryAfterMillis delay after which a retry may succeed, in milliseconds; 0 if unknown
   */
  FleetResponse failureResponse(
      String label, Outcome outcome, Reason reason, long retryAfterMillis);
}

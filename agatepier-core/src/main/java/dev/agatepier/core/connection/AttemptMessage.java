package dev.agatepier.core.connection;

import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import java.util.Optional;

/**
 * Messages about one attempt, between the router that owns the request and the sidecar that runs
 * it.
 */
public sealed interface AttemptMessage extends LinkMessage {

  /**
   * Router to sidecar: runs the request in the slot reserved by the grant.
   *
   * @param grantNumber number of the grant that the attempt uses
   * @param attempt identity of the attempt
   * @param workspace workspace of the caller
   * @param head head of the request
   * @param body complete body of the request
   * @param timeLeftMillis remaining time until the deadline, in milliseconds
   * @param idempotent whether the request may safely run more than once
   * @param exclusive whether the upstream must run no other attempt at the same time
   * @param fingerprint identifies resends of the same content
   * @param ticket authenticated ticket of the call; empty if the call has none
   * @param windowBytes initial flow-control window: response bytes that the sidecar may send before
   *     it waits for credit
   */
  record StartAttempt(
      long grantNumber,
      AttemptId attempt,
      String workspace,
      CallHead head,
      Bytes body,
      long timeLeftMillis,
      boolean idempotent,
      boolean exclusive,
      Fingerprint fingerprint,
      Optional<Ticket> ticket,
      long windowBytes)
      implements AttemptMessage {}

  /**
   * Sidecar to router: head of the response.
   *
   * @param attempt the attempt that the message belongs to
   * @param head status and headers
   */
  record AttemptHead(AttemptId attempt, ResponseHead head) implements AttemptMessage {}

  /**
   * Sidecar to router: the next frame of the response body.
   *
   * @param attempt the attempt that the message belongs to
   * @param frameNumber sequence number of the frame, from 0, without gaps
   * @param content bytes of the frame
   */
  record AttemptContent(AttemptId attempt, int frameNumber, Bytes content)
      implements AttemptMessage {}

  /**
   * Sidecar to router: the response is complete.
   *
   * @param attempt the attempt that the message belongs to
   * @param frameCount number of frames sent
   * @param cost final cost, in cost units of the service
   */
  record AttemptEnd(AttemptId attempt, int frameCount, double cost) implements AttemptMessage {}

  /**
   * Sidecar to router: the attempt did not run and never will in this incarnation of the sidecar.
   *
   * @param attempt the rejected attempt
   * @param reason why it did not run
   */
  record AttemptNotRun(AttemptId attempt, Reason reason) implements AttemptMessage {}

  /**
   * Sidecar to router: the attempt was sent to the upstream, but its response will not be
   * completed.
   *
   * @param attempt the failed attempt
   * @param reason why it failed
   */
  record AttemptFailed(AttemptId attempt, Reason reason) implements AttemptMessage {}

  /**
   * Router to sidecar: flow-control credit for response bytes that the caller has consumed.
   *
   * @param attempt the attempt that the message belongs to
   * @param bytes bytes consumed since the last credit
   */
  record AttemptCredit(AttemptId attempt, long bytes) implements AttemptMessage {}

  /**
   * Router to sidecar: cancels the attempt if it is running and otherwise prevents it from ever
   * starting. The reply is {@link AttemptNotRun} or {@link AttemptFailed}.
   *
   * @param attempt the attempt to cancel
   */
  record WithdrawAttempt(AttemptId attempt) implements AttemptMessage {}
}

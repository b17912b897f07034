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
 * Messages about one attempt, between the router that has the request and the sidecar that runs it.
 */
public sealed interface AttemptMessage extends LinkMessage {

  /**
   * Router to sidecar: run this request in the slot of the grant.
   *
   * @param grantNumber number of the grant that this answers
   * @param attempt the attempt's name
   * @param workspace workspace of the caller
   * @param head head of the request
   * @param body whole body of the request
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param idempotent whether running it twice is harmless
   * @param exclusive whether nothing else may run beside it
   * @param fingerprint recognises resends of the same content
   * @param ticket the ticket, already authenticated, of a call that is made under one
   * @param windowBytes bytes of answer the sidecar may send before it waits for credit
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
   * Sidecar to router: head of the answer.
   *
   * @param attempt the attempt answered
   * @param head status and headers
   */
  record AttemptHead(AttemptId attempt, ResponseHead head) implements AttemptMessage {}

  /**
   * Sidecar to router: next part of the answer's body.
   *
   * @param attempt the attempt answered
   * @param frameNumber number of the part, from 0, without gaps
   * @param content the part
   */
  record AttemptContent(AttemptId attempt, int frameNumber, Bytes content)
      implements AttemptMessage {}

  /**
   * Sidecar to router: the answer is whole.
   *
   * @param attempt the attempt answered
   * @param frameCount number of parts sent
   * @param cost final cost, in cost units of the service
   */
  record AttemptEnd(AttemptId attempt, int frameCount, double cost) implements AttemptMessage {}

  /**
   * Sidecar to router: the attempt did not run and never will in this incarnation.
   *
   * @param attempt the attempt refused
   * @param reason why
   */
  record AttemptNotRun(AttemptId attempt, Reason reason) implements AttemptMessage {}

  /**
   * Sidecar to router: the attempt was handed to the upstream and its answer will not become whole.
   *
   * @param attempt the attempt that failed
   * @param reason why
   */
  record AttemptFailed(AttemptId attempt, Reason reason) implements AttemptMessage {}

  /**
   * Router to sidecar: the caller has taken this much more of the answer.
   *
   * @param attempt the attempt answered
   * @param bytes bytes taken since the last credit
   */
  record AttemptCredit(AttemptId attempt, long bytes) implements AttemptMessage {}

  /**
   * Router to sidecar: never start this attempt; if it runs, stop it. Answered by {@link
   * AttemptNotRun} or {@link AttemptFailed}.
   *
   * @param attempt the attempt withdrawn
   */
  record WithdrawAttempt(AttemptId attempt) implements AttemptMessage {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Upstream;
import java.util.OptionalLong;

/** Everything that the router's decision asks for. */
public sealed interface RouterEffect {

  /**
   * Send a message over the link to a peer; dropped if there is no such link.
   *
   * @param instance instance name of the peer
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements RouterEffect {}

  /**
   * Begin the answer to a caller.
   *
   * @param request its request
   * @param head status and headers
   */
  record BeginResponse(RequestId request, ResponseHead head) implements RouterEffect {}

  /**
   * Continue the answer to a caller.
   *
   * @param request its request
   * @param content next part of the body
   */
  record ContinueResponse(RequestId request, Bytes content) implements RouterEffect {}

  /**
   * End the answer to a caller as whole.
   *
   * @param request its request
   * @param facts what the request cost and how long it took
   */
  record EndResponse(RequestId request, RequestMetadata facts) implements RouterEffect {}

  /**
   * End a request with an error body, or, if the answer has begun, with a broken transfer.
   *
   * @param request its request
   * @param outcome what is known about whether it ran
   * @param reason why
   * @param retryAfterMillis when a resend may succeed, in milliseconds; 0 for no advice
   * @param facts what the request cost and how long it took
   */
  record FailRequest(
      RequestId request,
      Outcome outcome,
      Reason reason,
      long retryAfterMillis,
      RequestMetadata facts)
      implements RouterEffect {}

  /**
   * Hand a ticket to the caller that asked for one.
   *
   * @param request its request
   * @param ticket the ticket
   */
  record IssueTicket(RequestId request, Ticket ticket) implements RouterEffect {}

  /**
   * Call an upstream; answered by {@link RouterEvent.UpstreamResponseStarted} and what follows it,
   * by {@link RouterEvent.UpstreamNotRun} or by {@link RouterEvent.UpstreamFailed}.
   *
   * @param attempt the attempt
   * @param upstream the upstream
   * @param workspace workspace of the caller
   * @param head head of the request
   * @param body whole body
   * @param plan what operators want for the call
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param resumeAfter number of the event after which a broken stream goes on
   * @param windowBytes bytes of answer that may be read before more credit comes
   */
  record RunAttempt(
      AttemptId attempt,
      Upstream upstream,
      String workspace,
      CallHead head,
      Bytes body,
      CallPlan plan,
      long timeLeftMillis,
      OptionalLong resumeAfter,
      long windowBytes)
      implements RouterEffect {}

  /**
   * Read more of the answer of a called upstream.
   *
   * @param attempt the attempt
   * @param bytes further bytes that may be read
   */
  record ReadAttempt(AttemptId attempt, long bytes) implements RouterEffect {}

  /**
   * Stop an attempt at a called upstream; answered by {@link RouterEvent.UpstreamNotRun} or {@link
   * RouterEvent.UpstreamFailed} unless it has ended already.
   *
   * @param attempt the attempt
   */
  record CancelAttempt(AttemptId attempt) implements RouterEffect {}

  /** Nothing is left to finish after {@link RouterEvent.DrainBegun}. */
  record Drained() implements RouterEffect {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.request.AnswerHead;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;

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
  record BeginAnswer(RequestId request, AnswerHead head) implements RouterEffect {}

  /**
   * Continue the answer to a caller.
   *
   * @param request its request
   * @param content next part of the body
   */
  record ContinueAnswer(RequestId request, Bytes content) implements RouterEffect {}

  /**
   * End the answer to a caller as whole.
   *
   * @param request its request
   * @param facts what the request cost and how long it took
   */
  record EndAnswer(RequestId request, RequestFacts facts) implements RouterEffect {}

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
      RequestId request, Outcome outcome, Reason reason, long retryAfterMillis, RequestFacts facts)
      implements RouterEffect {}

  /**
   * Hand a ticket to the caller that asked for one.
   *
   * @param request its request
   * @param ticket the ticket
   */
  record IssueTicket(RequestId request, Ticket ticket) implements RouterEffect {}

  /** Nothing is left to finish after {@link RouterEvent.DrainBegun}. */
  record Drained() implements RouterEffect {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.OptionalLong;

/** Effects of the router's decision. */
public sealed interface RouterEffect {

  /**
   * Send a message over the link to a peer. The message is dropped if there is no link.
   *
   * @param instance instance name of the peer
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements RouterEffect {}

  /**
   * Start the response to a caller.
   *
   * @param request the caller's request
   * @param head status and headers
   */
  record BeginResponse(RequestId request, ResponseHead head) implements RouterEffect {}

  /**
   * Send the next part of the response body to a caller.
   *
   * @param request the caller's request
   * @param content next part of the body
   */
  record ContinueResponse(RequestId request, Bytes content) implements RouterEffect {}

  /**
   * Complete the response to a caller.
   *
   * @param request the caller's request
   * @param metadata metadata of the request
   */
  record EndResponse(RequestId request, RequestMetadata metadata) implements RouterEffect {}

  /**
   * End a request with an error response, or abort the transfer if the response has started.
   *
   * @param request the caller's request
   * @param outcome whether the request ran, as far as is known
   * @param reason reason of the failure
   * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if unknown
   * @param metadata metadata of the request
   */
  record FailRequest(
      RequestId request,
      Outcome outcome,
      Reason reason,
      long retryAfterMillis,
      RequestMetadata metadata)
      implements RouterEffect {}

  /**
   * Send a ticket to the caller that requested it.
   *
   * @param request the caller's request
   * @param ticket the ticket
   */
  record IssueTicket(RequestId request, Ticket ticket) implements RouterEffect {}

  /**
   * Call an upstream. The call results in {@link RouterEvent.UpstreamResponseStarted} and the
   * events after it, in {@link RouterEvent.UpstreamNotRun} or in {@link
   * RouterEvent.UpstreamFailed}.
   *
   * @param attempt the attempt
   * @param upstream the upstream
   * @param workspace workspace of the caller
   * @param head method, path and headers of the request
   * @param body the complete body
   * @param plan the call plan that operators have configured
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param resumeAfter number of the event after which to resume an interrupted stream
   * @param softwareVersion software version that the upstream must have; empty if any may run it
   * @param windowBytes response bytes that may be read before {@link ReadAttempt} grants more
   * @param sendByNanos time after which the request must not be sent any more, as a reading of the
   *     process's monotonic clock; empty for none
   * @param mayBeReplaced whether another process may run at the upstream's address, so that the
   *     upstream is asked for its incarnation first
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
      String softwareVersion,
      long windowBytes,
      OptionalLong sendByNanos,
      boolean mayBeReplaced)
      implements RouterEffect {

    /** Creates an attempt that any upstream may run and that may be sent at any time. */
    public RunAttempt(
        AttemptId attempt,
        Upstream upstream,
        String workspace,
        CallHead head,
        Bytes body,
        CallPlan plan,
        long timeLeftMillis,
        OptionalLong resumeAfter,
        long windowBytes) {
      this(
          attempt,
          upstream,
          workspace,
          head,
          body,
          plan,
          timeLeftMillis,
          resumeAfter,
          "",
          windowBytes,
          OptionalLong.empty(),
          false);
    }

    /** Returns the attempt with another time until its deadline, in milliseconds. */
    public RunAttempt withTimeLeft(long millis) {
      return new RunAttempt(
          attempt,
          upstream,
          workspace,
          head,
          body,
          plan,
          millis,
          resumeAfter,
          softwareVersion,
          windowBytes,
          sendByNanos,
          mayBeReplaced);
    }

    /** Returns the attempt with a time after which it must not be sent. */
    public RunAttempt sendBy(long nanos) {
      return new RunAttempt(
          attempt,
          upstream,
          workspace,
          head,
          body,
          plan,
          timeLeftMillis,
          resumeAfter,
          softwareVersion,
          windowBytes,
          OptionalLong.of(nanos),
          mayBeReplaced);
    }

    /** Returns whether it is too late to send the request. */
    public boolean isTooLate(long nowNanos) {
      return sendByNanos.isPresent() && nowNanos - sendByNanos.getAsLong() > 0;
    }
  }

  /**
   * Read more of the response of an upstream that the router called.
   *
   * @param attempt the attempt
   * @param bytes additional response bytes that may be read
   */
  record ReadAttempt(AttemptId attempt, long bytes) implements RouterEffect {}

  /**
   * Cancel an attempt at an upstream that the router called. The cancellation results in {@link
   * RouterEvent.UpstreamNotRun} or {@link RouterEvent.UpstreamFailed} unless the attempt has
   * already ended.
   *
   * @param attempt the attempt
   */
  record CancelAttempt(AttemptId attempt) implements RouterEffect {}

  /**
   * Cancel an attempt only if its request has not been sent because the connection is still being
   * opened; this results in {@link RouterEvent.UpstreamNotRun}. Any other attempt goes on.
   *
   * @param attempt the attempt
   */
  record CancelUnsentAttempt(AttemptId attempt) implements RouterEffect {}

  /**
   * Report that a fingerprint is quarantined or no longer is.
   *
   * @param fingerprint the request or prompt part
   * @param upstream the upstream whose crash was the last one; empty if the quarantine has ended
   */
  record QuarantineChanged(Fingerprint fingerprint, String upstream) implements RouterEffect {}

  /**
   * Reports that a request with quarantined fingerprints is sent to an upstream, to find out
   * whether they are sound.
   */
  record QuarantineTrialStarted(RequestId request, List<Fingerprint> fingerprints)
      implements RouterEffect {
    /** Copies the list. */
    public QuarantineTrialStarted {
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /**
   * Report that a table version with other lists of allowed regions was activated.
   *
   * @param tableVersion the version
   * @param restrictedRoutes number of routes with a list
   * @param restrictedWorkspaces number of workspaces with a list
   * @param waitingChanged number of waiting requests whose regions changed, so that they were moved
   *     or rejected
   */
  record AllowedRegionsChanged(
      long tableVersion, int restrictedRoutes, int restrictedWorkspaces, int waitingChanged)
      implements RouterEffect {}

  /**
   * Report that a call that resumes a stream was bound to the software version that began it, or
   * rejected.
   *
   * @param request the call
   * @param resumedLabel label of the caller's call that brought the first event; empty if the
   *     caller named none
   * @param source how the software version was found
   * @param softwareVersion the software version; empty if it was not found
   * @param heldNanos time for which the call was held until then
   * @param evidence what the decision rests on if the origin itself was not found
   */
  record ResumptionDecided(
      RequestId request,
      String resumedLabel,
      OriginSource source,
      String softwareVersion,
      long heldNanos,
      ResumptionEvidence evidence)
      implements RouterEffect {}

  /**
   * Report the first events that an attempt received which continues a stream.
   *
   * @param attempt the attempt
   * @param resumeAfter number of the last event before the seam
   * @param firstEvent number of the first event that the attempt received
   * @param sameCall whether this call forwarded the last event before the seam; otherwise its
   *     caller resumes the stream of an earlier call
   */
  record StreamContinued(AttemptId attempt, long resumeAfter, long firstEvent, boolean sameCall)
      implements RouterEffect {

    /** Returns how many numbers are missing between the events before and after the seam. */
    public long missing() {
      return Math.max(0, firstEvent - resumeAfter - 1);
    }

    /** Returns how many numbers up to the last event before the seam come again after it. */
    public long repeated() {
      return Math.max(0, resumeAfter - firstEvent + 1);
    }
  }

  /**
   * Send a datagram to the origin cache on the instance of an upstream. It may be lost.
   *
   * @param address IP address of the instance
   * @param message the message
   */
  record SendToOriginCache(String address, StreamMessage message) implements RouterEffect {}

  /**
   * Read from the platform which upstreams are registered now. Results in {@link
   * RouterEvent.UpstreamsRead} or {@link RouterEvent.UpstreamsReadFailed}; several of these effects
   * may have one result.
   */
  record ReadUpstreams() implements RouterEffect {}

  /** The drain that {@link RouterEvent.DrainStarted} started is complete. */
  record Drained() implements RouterEffect {}
}

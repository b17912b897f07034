package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallLabels;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Events of the router's decision. */
public sealed interface RouterEvent {

  /**
   * An authenticated caller has sent a request.
   *
   * @param request ID assigned to the request
   * @param workspace workspace of the caller's key
   * @param service the requested service
   * @param head method, path and headers of the request
   * @param body the complete body
   * @param fingerprint fingerprint of the content
   * @param ticket the ticket that the caller presented, already authenticated
   * @param deadlineNanos deadline of the caller, as a reading of the process's monotonic clock
   * @param plan the call plan of the matched route; empty if the service entry alone applies
   * @param prompt what the caller declares about the prompt of a model request
   * @param resumeAfter number of the last event that the caller received of an interrupted stream;
   *     empty if it resumes none
   * @param allowedRegions regions in which the matched route and the workspace allow the call to be
   *     processed, by the table of the front end
   * @param labels labels by which the caller refers to the call and to the one that it resumes
   */
  record CallArrived(
      RequestId request,
      String workspace,
      String service,
      CallHead head,
      Bytes body,
      Fingerprint fingerprint,
      Optional<Ticket> ticket,
      long deadlineNanos,
      Optional<CallPlan> plan,
      Optional<PromptMetadata> prompt,
      OptionalLong resumeAfter,
      AllowedRegions allowedRegions,
      CallLabels labels)
      implements RouterEvent {

    /** Creates the event of a call without labels. */
    public CallArrived(
        RequestId request,
        String workspace,
        String service,
        CallHead head,
        Bytes body,
        Fingerprint fingerprint,
        Optional<Ticket> ticket,
        long deadlineNanos,
        Optional<CallPlan> plan,
        Optional<PromptMetadata> prompt,
        OptionalLong resumeAfter,
        AllowedRegions allowedRegions) {
      this(
          request,
          workspace,
          service,
          head,
          body,
          fingerprint,
          ticket,
          deadlineNanos,
          plan,
          prompt,
          resumeAfter,
          allowedRegions,
          CallLabels.NONE);
    }

    /** Creates the event of a call that every region may process. */
    public CallArrived(
        RequestId request,
        String workspace,
        String service,
        CallHead head,
        Bytes body,
        Fingerprint fingerprint,
        Optional<Ticket> ticket,
        long deadlineNanos,
        Optional<CallPlan> plan,
        Optional<PromptMetadata> prompt,
        OptionalLong resumeAfter) {
      this(
          request,
          workspace,
          service,
          head,
          body,
          fingerprint,
          ticket,
          deadlineNanos,
          plan,
          prompt,
          resumeAfter,
          AllowedRegions.ALL);
    }

    /** Creates the event of a call that names its service directly, without a call plan. */
    public CallArrived(
        RequestId request,
        String workspace,
        String service,
        CallHead head,
        Bytes body,
        Fingerprint fingerprint,
        Optional<Ticket> ticket,
        long deadlineNanos) {
      this(
          request,
          workspace,
          service,
          head,
          body,
          fingerprint,
          ticket,
          deadlineNanos,
          Optional.empty(),
          Optional.empty(),
          OptionalLong.empty());
    }

    /** Returns whether the caller already has events of the stream and wants those after them. */
    public boolean resumesStream() {
      return resumeAfter.isPresent() && resumeAfter.getAsLong() >= 0;
    }
  }

  /**
   * An authenticated caller has requested a ticket.
   *
   * @param request ID assigned to the request
   * @param workspace workspace of the caller's key
   * @param service service for which the ticket is to be valid
   */
  record TicketRequested(RequestId request, String workspace, String service)
      implements RouterEvent {}

  /**
   * The caller has disconnected.
   *
   * @param request the caller's request
   */
  record CallerDisconnected(RequestId request) implements RouterEvent {}

  /**
   * The caller has consumed part of the response.
   *
   * @param request the caller's request
   * @param bytes bytes consumed since the previous event
   */
  record ResponseConsumed(RequestId request, long bytes) implements RouterEvent {}

  /**
   * A link to a sidecar or another router was established and authenticated.
   *
   * @param peer the remote process
   */
  record PeerConnected(PeerIdentity peer) implements RouterEvent {}

  /**
   * The link to a sidecar or another router was closed.
   *
   * @param peer the remote process
   */
  record PeerDisconnected(PeerIdentity peer) implements RouterEvent {}

  /**
   * A message was received over a link.
   *
   * @param peer the sender, a sidecar or another router
   * @param message the message
   */
  record MessageReceived(PeerIdentity peer, LinkMessage message) implements RouterEvent {}

  /**
   * A message of a slot allocator, which may be the router's own, was received.
   *
   * @param router instance name of the allocator's router
   * @param message the message
   */
  record AllocatorMessageReceived(String router, SlotMessage message) implements RouterEvent {}

  /**
   * The response of an upstream that the router itself called has started.
   *
   * @param attempt the attempt
   * @param head status and headers
   * @param eventStream whether the body is an event stream
   */
  record UpstreamResponseStarted(AttemptId attempt, ResponseHead head, boolean eventStream)
      implements RouterEvent {}

  /**
   * An upstream that the router itself called has said in the head of a response whether it wants
   * further requests. This precedes the other events of the response.
   *
   * @param upstream entry of the upstream when the request was sent to it
   * @param notice what it has said
   */
  record UpstreamNoticed(Upstream upstream, UpstreamNotice notice) implements RouterEvent {}

  /**
   * An upstream that may have been replaced has stated that it is the listed process, on the
   * connection on which the request is sent.
   *
   * @param attempt the attempt
   * @param softwareVersion the listed software version
   */
  record UpstreamConfirmed(AttemptId attempt, String softwareVersion) implements RouterEvent {}

  /**
   * An upstream that the router itself called has stated its load in the head of a response.
   *
   * @param attempt the attempt that it responded to
   * @param report the load
   */
  record UpstreamLoadReported(AttemptId attempt, UpstreamLoadReport report)
      implements RouterEvent {}

  /**
   * Part of the response body of an upstream that the router itself called was received.
   *
   * @param attempt the attempt
   * @param content the part; complete events if the response is an event stream
   * @param firstEvent number of the first event in the part; -1 if events have no numbers
   * @param lastEvent number of the last event in the part; -1 if events have no numbers
   * @param tokens number of tokens in the part; 0 for plain services
   */
  record UpstreamResponseData(
      AttemptId attempt, Bytes content, long firstEvent, long lastEvent, int tokens)
      implements RouterEvent {}

  /**
   * The response of an upstream that the router itself called is complete.
   *
   * @param attempt the attempt
   */
  record UpstreamResponseCompleted(AttemptId attempt) implements RouterEvent {}

  /**
   * An attempt did not run and will not run.
   *
   * @param attempt the attempt
   * @param reason reason of the failure
   * @param rejectedByUpstream whether the upstream itself rejected the attempt
   */
  record UpstreamNotRun(AttemptId attempt, Reason reason, boolean rejectedByUpstream)
      implements RouterEvent {}

  /**
   * An attempt failed after it may have run. Its response stays incomplete.
   *
   * @param attempt the attempt
   * @param reason reason of the failure
   */
  record UpstreamFailed(AttemptId attempt, Reason reason) implements RouterEvent {}

  /**
   * A table version was activated.
   *
   * @param table the table of this version
   */
  record TableActivated(Table table) implements RouterEvent {}

  /**
   * A version of the instance list was activated.
   *
   * @param instances the list of this version
   */
  record InstancesActivated(InstanceList instances) implements RouterEvent {}

  /**
   * The active instance list was confirmed to be the newest version.
   *
   * @param startedNanos start of the read that confirmed it, as a reading of the process's
   *     monotonic clock
   */
  record InstancesConfirmed(long startedNanos) implements RouterEvent {}

  /**
   * It was read which software versions upstreams had before the first instance list. Comes once at
   * most, after the first list was activated.
   *
   * @param history the software versions
   */
  record SoftwareVersionsRead(SoftwareVersionHistory history) implements RouterEvent {}

  /**
   * All registered upstreams were read from the platform, other than by the watch that keeps the
   * instance list up to date.
   *
   * @param upstreams the upstreams; the active instance list may differ
   * @param startedNanos start of the read, as a reading of the process's monotonic clock
   */
  record UpstreamsRead(List<Upstream> upstreams, long startedNanos) implements RouterEvent {

    /** Copies the upstreams. */
    public UpstreamsRead {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * The upstreams could not be read from the platform.
   *
   * @param startedNanos start of the read, as a reading of the process's monotonic clock
   */
  record UpstreamsReadFailed(long startedNanos) implements RouterEvent {}

  /** The periodic timer has expired. */
  record Tick() implements RouterEvent {}

  /** The process must accept no new requests and complete the accepted ones. */
  record DrainStarted() implements RouterEvent {}

  /**
   * The process has announced that it will stop soon. It still accepts requests that it can serve.
   *
   * @param endNanos time by which every request must have ended, as a reading of the process's
   *     monotonic clock
   */
  record StopAnnounced(long endNanos) implements RouterEvent {}

  /**
   * An origin cache has replied.
   *
   * @param address IP address of its instance
   * @param reply the reply
   */
  record OriginCacheReplied(String address, OriginReply reply) implements RouterEvent {}
}

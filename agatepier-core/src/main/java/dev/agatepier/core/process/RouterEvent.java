package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import java.util.Optional;
import java.util.OptionalLong;

/** Everything that the router's decision is told. */
public sealed interface RouterEvent {

  /**
   * A caller whose key has been checked asks for something.
   *
   * @param request name given to the request
   * @param workspace workspace that the key belongs to
   * @param service service asked for
   * @param head head of the request
   * @param body whole body
   * @param fingerprint recognises the content
   * @param ticket the ticket the call is made under, already authenticated
   * @param deadlineNanos reading of the process's clock at which the caller gives up
   * @param plan what operators want for it; empty where the service's entry says so alone
   * @param prompt what the caller says about a model request
   * @param resumeAfter number of the last event of a broken stream that the caller goes on with
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
      OptionalLong resumeAfter)
      implements RouterEvent {

    /** Creates the event of a call that names its service itself. */
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
  }

  /**
   * A caller whose key has been checked asks for a ticket.
   *
   * @param request name given to the request
   * @param workspace workspace that the key belongs to
   * @param service service the ticket is to be good for
   */
  record TicketRequested(RequestId request, String workspace, String service)
      implements RouterEvent {}

  /**
   * The caller hung up.
   *
   * @param request its request
   */
  record CallerDisconnected(RequestId request) implements RouterEvent {}

  /**
   * The caller has taken part of the answer.
   *
   * @param request its request
   * @param bytes bytes taken since the last event
   */
  record ResponseConsumed(RequestId request, long bytes) implements RouterEvent {}

  /**
   * A link to a sidecar or another router is up and authenticated.
   *
   * @param peer the other end
   */
  record PeerConnected(PeerIdentity peer) implements RouterEvent {}

  /**
   * A link to a sidecar or another router is gone.
   *
   * @param peer the other end
   */
  record PeerDisconnected(PeerIdentity peer) implements RouterEvent {}

  /**
   * A message came over a link.
   *
   * @param peer the sender, a sidecar or another router
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements RouterEvent {}

  /**
   * A slot keeper, which may be the router's own, said something.
   *
   * @param router instance name of the keeper's router
   * @param message the message
   */
  record AllocatorMessageReceived(String router, SlotMessage message) implements RouterEvent {}

  /**
   * An upstream that the router itself called began to answer.
   *
   * @param attempt the attempt answered
   * @param head status and headers
   */
  record UpstreamResponseStarted(AttemptId attempt, ResponseHead head) implements RouterEvent {}

  /**
   * An upstream that the router itself called sent part of an answer.
   *
   * @param attempt the attempt answered
   * @param content the part; whole events for a stream
   * @param firstEvent number of the first event in the part; -1 if events have no numbers
   * @param lastEvent number of the last event in the part; -1 if events have no numbers
   * @param tokens tokens in the part; 0 for plain services
   */
  record UpstreamResponseData(
      AttemptId attempt, Bytes content, long firstEvent, long lastEvent, int tokens)
      implements RouterEvent {}

  /**
   * The answer of an upstream that the router itself called is whole.
   *
   * @param attempt the attempt answered
   */
  record UpstreamResponseCompleted(AttemptId attempt) implements RouterEvent {}

  /**
   * An attempt did not run and never will.
   *
   * @param attempt the attempt
   * @param reason why
   * @param rejectedByUpstream whether the upstream turned it down itself
   */
  record UpstreamNotRun(AttemptId attempt, Reason reason, boolean rejectedByUpstream)
      implements RouterEvent {}

  /**
   * An attempt may have run, and its answer will not become whole.
   *
   * @param attempt the attempt
   * @param reason what went wrong
   */
  record UpstreamFailed(AttemptId attempt, Reason reason) implements RouterEvent {}

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableActivated(Table table) implements RouterEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesActivated(InstanceList instances) implements RouterEvent {}

  /** Time has passed. */
  record TimePassed() implements RouterEvent {}

  /** The process is to take no new request and to finish what it has. */
  record DrainBegun() implements RouterEvent {}

  /** The process has said that it is about to stop, though it still takes requests. */
  record StopAnnounced() implements RouterEvent {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.process.internal.Admission;
import dev.agatepier.core.process.internal.AllocatorPlacement;
import dev.agatepier.core.process.internal.AttemptRelay;
import dev.agatepier.core.process.internal.DemandPublisher;
import dev.agatepier.core.process.internal.PeerMessageDispatcher;
import dev.agatepier.core.process.internal.RequestLifecycle;
import dev.agatepier.core.process.internal.RouterState;
import dev.agatepier.core.process.internal.SlotReplyHandler;
import dev.agatepier.core.process.internal.StreamResumptions;
import dev.agatepier.core.process.internal.TicketIssuer;
import dev.agatepier.core.process.internal.UpstreamResponseHandler;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;

/**
 * The state machine of a router. It admits calls, sends the demand to sidecars, replies to their
 * grants, relays responses and ends every request with exactly one outcome. Each request waits here
 * until a slot is granted for it.
 */
public final class RouterDecision implements Decision<RouterEvent, RouterEffect> {

  private final RouterState state;
  private final DemandPublisher demand;
  private final RequestLifecycle lifecycle;
  private final StreamResumptions resumptions;
  private final AttemptRelay attempts;
  private final PeerMessageDispatcher peers;
  private final TicketIssuer tickets;
  private final AllocatorPlacement allocatorPlacement;
  private final SlotReplyHandler slotReplies;
  private final UpstreamResponseHandler upstreams;
  private boolean drainedReported;

  /**
   * Creates the decision of a router that knows the regions of no data centre.
   *
   * @param self identity of the router
   * @param policy settings
   */
  public RouterDecision(PeerIdentity self, RouterPolicy policy) {
    this(self, policy, SlotAllocatorPolicy.DEFAULT, DataCentreRegions.NONE);
  }

  /**
   * Creates the decision of a router without peers, table or instance list.
   *
   * @param self identity of the router
   * @param policy settings
   * @param slots settings of the slot allocators, the same in all routers
   * @param dataCentres the regions of the data centres
   */
  public RouterDecision(
      PeerIdentity self,
      RouterPolicy policy,
      SlotAllocatorPolicy slots,
      DataCentreRegions dataCentres) {
    state = new RouterState(self, policy, slots, dataCentres);
    demand = new DemandPublisher(state);
    lifecycle = new RequestLifecycle(state, demand);
    allocatorPlacement = new AllocatorPlacement(state);
    Admission admission = new Admission(state, lifecycle, demand, allocatorPlacement);
    attempts = new AttemptRelay(state, lifecycle);
    slotReplies = new SlotReplyHandler(state, lifecycle, allocatorPlacement, attempts);
    resumptions = new StreamResumptions(state, admission);
    upstreams = new UpstreamResponseHandler(state, attempts, resumptions);
    peers = new PeerMessageDispatcher(state, lifecycle, demand, attempts, allocatorPlacement);
    tickets = new TicketIssuer(state, admission);
  }

  @Override
  public List<RouterEffect> decide(RouterEvent event, long nowNanos) {
    attempts.runDueTimers(nowNanos);
    resumptions.runDueTimers(nowNanos);
    handle(event, nowNanos);
    allocatorPlacement.rejectUnplaced(lifecycle, nowNanos);
    demand.publish(nowNanos);
    allocatorPlacement.flush(nowNanos);
    if (state.drained() && resumptions.isEmpty() && !drainedReported) {
      drainedReported = true;
      state.outbox().add(new RouterEffect.Drained());
    }
    return state.outbox().take();
  }

  @Override
  public boolean idle() {
    return state.idle() && resumptions.isEmpty() && demand.allSent();
  }

  /** Returns the state that operators see in the status of this router. */
  public RouterSnapshot snapshot(long nowNanos) {
    return state.snapshot(nowNanos);
  }

  /** Returns the progress of a request, or empty if it is unknown or has ended. */
  public Optional<RequestProgress> progress(RequestId request, long nowNanos) {
    return state.progress(request, nowNanos);
  }

  private void handle(RouterEvent event, long nowNanos) {
    switch (event) {
      case RouterEvent.CallArrived call -> resumptions.onCallArrived(call, nowNanos);
      case RouterEvent.TicketRequested ticket -> tickets.issue(ticket);
      case RouterEvent.CallerDisconnected caller -> {
        if (!resumptions.onCallerDisconnected(caller.request())) {
          attempts.onCallerDisconnected(caller.request(), nowNanos);
        }
      }
      case RouterEvent.ResponseConsumed consumed -> attempts.onResponseConsumed(consumed);
      case RouterEvent.PeerConnected connected -> {
        peers.onPeerConnected(connected.peer(), nowNanos);
        resumptions.onPeerConnected(connected.peer());
      }
      case RouterEvent.PeerDisconnected disconnected -> {
        peers.onPeerDisconnected(disconnected.peer(), nowNanos);
        resumptions.onPeerDisconnected(disconnected.peer(), nowNanos);
      }
      case RouterEvent.MessageReceived(PeerIdentity peer, StreamMessage message) ->
          resumptions.onMessage(peer, message, nowNanos);
      case RouterEvent.MessageReceived received ->
          peers.onMessage(received.peer(), received.message(), nowNanos);
      case RouterEvent.TableActivated activated -> {
        state.onTableActivated(activated.table());
        resumptions.onTableActivated(activated.table());
        allocatorPlacement.onTableActivated(nowNanos);
      }
      case RouterEvent.InstancesActivated activated -> {
        peers.onInstancesActivated(activated.instances());
        slotReplies.onInstancesActivated(activated.instances(), nowNanos);
        resumptions.onInstancesActivated(activated.instances(), nowNanos);
      }
      case RouterEvent.InstancesConfirmed confirmed ->
          resumptions.onInstancesConfirmed(confirmed.startedNanos());
      case RouterEvent.SoftwareVersionsRead read ->
          resumptions.onSoftwareVersionsRead(read.history());
      case RouterEvent.UpstreamsRead(List<Upstream> read, long startedNanos) ->
          resumptions.onUpstreamsRead(read, startedNanos, nowNanos);
      case RouterEvent.UpstreamsReadFailed(long startedNanos) ->
          resumptions.onUpstreamsReadFailed(startedNanos, nowNanos);
      case RouterEvent.AllocatorMessageReceived(String router, SlotMessage message) ->
          slotReplies.onMessage(router, message, nowNanos);
      case RouterEvent.OriginCacheReplied(String address, OriginReply reply) ->
          resumptions.onCacheReply(address, reply, nowNanos);
      case RouterEvent.UpstreamNoticed noticed ->
          slotReplies.onNotice(noticed.upstream(), noticed.notice(), nowNanos);
      case RouterEvent.UpstreamResponseStarted started ->
          upstreams.onResponseStarted(started, nowNanos);
      case RouterEvent.UpstreamLoadReported reported ->
          upstreams.onLoadReported(reported, nowNanos);
      case RouterEvent.UpstreamConfirmed confirmed -> upstreams.onConfirmed(confirmed);
      case RouterEvent.UpstreamResponseData data -> upstreams.onResponseContent(data, nowNanos);
      case RouterEvent.UpstreamResponseCompleted completed ->
          upstreams.onResponseEnded(completed, nowNanos);
      case RouterEvent.UpstreamNotRun notRun -> upstreams.onAttemptNotRun(notRun, nowNanos);
      case RouterEvent.UpstreamFailed failed -> upstreams.onAttemptFailed(failed, nowNanos);
      case RouterEvent.Tick tick -> {
        state.expire(nowNanos);
        resumptions.expire(nowNanos);
        allocatorPlacement.reportNotices(nowNanos);
      }
      case RouterEvent.StopAnnounced(long endNanos) -> {
        peers.onStopAnnounced(nowNanos);
        attempts.onStopAnnounced(endNanos, nowNanos);
      }
      case RouterEvent.DrainStarted started -> state.startDrain();
    }
  }
}

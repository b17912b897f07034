package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.process.internal.Admission;
import dev.agatepier.core.process.internal.AllocatorPlacement;
import dev.agatepier.core.process.internal.AttemptRelay;
import dev.agatepier.core.process.internal.DemandPublisher;
import dev.agatepier.core.process.internal.PeerMessageDispatcher;
import dev.agatepier.core.process.internal.RequestLifecycle;
import dev.agatepier.core.process.internal.RouterState;
import dev.agatepier.core.process.internal.SlotReplyHandler;
import dev.agatepier.core.process.internal.TicketIssuer;
import dev.agatepier.core.process.internal.UpstreamResponseHandler;
import dev.agatepier.core.request.RequestId;
import java.util.List;
import java.util.Optional;

/**
 * Decides for a router: admits calls, tells sidecars of the demand, answers their grants, relays
 * answers, and gives every request one true end. It holds each request until a sidecar grants a
 * slot for it.
 */
public final class RouterDecision implements Decision<RouterEvent, RouterEffect> {

  private final RouterState state;
  private final DemandPublisher demand;
  private final Admission admission;
  private final AttemptRelay attempts;
  private final PeerMessageDispatcher peers;
  private final TicketIssuer tickets;
  private final AllocatorPlacement slots;
  private final SlotReplyHandler slotAnswers;
  private final UpstreamResponseHandler upstreams;
  private boolean drainedSaid;

  /**
   * Creates the decision of a router that knows nothing yet.
   *
   * @param self the router
   * @param policy what operators have set
   */
  public RouterDecision(PeerIdentity self, RouterPolicy policy) {
    state = new RouterState(self, policy);
    demand = new DemandPublisher(state);
    RequestLifecycle lifecycle = new RequestLifecycle(state, demand);
    slots = new AllocatorPlacement(state);
    admission = new Admission(state, lifecycle, demand, slots);
    attempts = new AttemptRelay(state, lifecycle);
    slotAnswers = new SlotReplyHandler(state, lifecycle, slots, attempts);
    upstreams = new UpstreamResponseHandler(state, attempts);
    peers = new PeerMessageDispatcher(state, lifecycle, demand, attempts, slots);
    tickets = new TicketIssuer(state, admission);
  }

  @Override
  public List<RouterEffect> decide(RouterEvent event, long nowNanos) {
    attempts.runDueTimers(nowNanos);
    handle(event, nowNanos);
    demand.publish(nowNanos);
    slots.flush(nowNanos);
    if (state.drained() && !drainedSaid) {
      drainedSaid = true;
      state.outbox().add(new RouterEffect.Drained());
    }
    return state.outbox().take();
  }

  @Override
  public boolean idle() {
    return state.idle() && demand.allSent();
  }

  /** Returns what operators are told about this router. */
  public RouterSnapshot snapshot(long nowNanos) {
    return state.snapshot(nowNanos);
  }

  /** Returns what is known of a request that has not ended. */
  public Optional<RequestProgress> progress(RequestId request, long nowNanos) {
    return state.progress(request, nowNanos);
  }

  private void handle(RouterEvent event, long nowNanos) {
    switch (event) {
      case RouterEvent.CallArrived call -> admission.admit(call, nowNanos);
      case RouterEvent.TicketRequested wanted -> tickets.issue(wanted);
      case RouterEvent.CallerDisconnected gone ->
          attempts.onCallerDisconnected(gone.request(), nowNanos);
      case RouterEvent.ResponseConsumed taken -> attempts.onCallerRead(taken);
      case RouterEvent.PeerConnected linked -> peers.onPeerConnected(linked.peer(), nowNanos);
      case RouterEvent.PeerDisconnected unlinked ->
          peers.onPeerDisconnected(unlinked.peer(), nowNanos);
      case RouterEvent.MessageArrived arrived ->
          peers.onMessage(arrived.peer(), arrived.message(), nowNanos);
      case RouterEvent.TableActivated inForce -> state.activateTable(inForce.table());
      case RouterEvent.InstancesActivated inForce -> {
        peers.onInstanceList(inForce.instances());
        slotAnswers.updateInstances(inForce.instances());
      }
      case RouterEvent.AllocatorMessageReceived(String router, SlotMessage message) ->
          slotAnswers.onMessage(router, message, nowNanos);
      case RouterEvent.UpstreamResponseStarted began ->
          upstreams.onResponseStarted(began, nowNanos);
      case RouterEvent.UpstreamResponseData sent -> upstreams.onResponseContent(sent, nowNanos);
      case RouterEvent.UpstreamResponseCompleted ended ->
          upstreams.onResponseEnded(ended, nowNanos);
      case RouterEvent.UpstreamNotRun notRun -> upstreams.onAttemptNotRun(notRun, nowNanos);
      case RouterEvent.UpstreamFailed failed -> upstreams.onAttemptFailed(failed, nowNanos);
      case RouterEvent.TimePassed passed -> state.expire(nowNanos);
      case RouterEvent.StopAnnounced announced -> peers.onStopAnnounced(nowNanos);
      case RouterEvent.DrainBegun begun -> state.beginDrain();
    }
  }
}

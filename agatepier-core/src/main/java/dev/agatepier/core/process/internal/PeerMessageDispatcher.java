package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.AttemptMessage.AttemptEnd;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.InstanceList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Tracks a router's connected peers and dispatches their messages to its components. */
public final class PeerMessageDispatcher {

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final DemandPublisher demand;
  private final GrantHandler grants;
  private final AttemptRelay attempts;
  private final AllocatorPlacement allocatorPlacement;

  /** Creates a dispatcher without connected peers. */
  public PeerMessageDispatcher(
      RouterState state,
      RequestLifecycle lifecycle,
      DemandPublisher demand,
      AttemptRelay attempts,
      AllocatorPlacement allocatorPlacement) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.demand = demand;
    this.attempts = attempts;
    this.allocatorPlacement = allocatorPlacement;
    grants = new GrantHandler(state, lifecycle, demand);
  }

  /** Handles a new link; an older link to the same sidecar is treated as disconnected first. */
  public void onPeerConnected(PeerIdentity peer, long nowNanos) {
    if (peer.role() == Role.ROUTER) {
      state.routers.put(peer.instance(), peer);
      state.leavingRouters.remove(peer.instance());
      allocatorPlacement.onRoutersChanged(state.allocatorCandidates(), nowNanos);
      sendSuspicions(peer.instance(), state.quarantine.activeReports(nowNanos));
      state.directCrashes.onRouterConnected(peer.instance(), nowNanos);
      return;
    }
    ConnectedSidecar previous = state.sidecars.findByName(peer.instance());
    if (previous != null) {
      onPeerDisconnected(previous.peer, nowNanos);
    }
    state.sidecars.add(peer);
    failPinnedToOtherIncarnation(peer, nowNanos);
    demand.onSidecarsChanged(peer.service());
  }

  /** Handles the end of a link; a sidecar's attempts are handled as link loss. */
  public void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    if (state.routers.remove(peer.instance(), peer)) {
      allocatorPlacement.onRouterDisconnected(peer.instance());
      allocatorPlacement.onRoutersChanged(state.allocatorCandidates(), nowNanos);
    }
    ConnectedSidecar sidecar = state.sidecars.findByIdentity(peer);
    if (sidecar == null) {
      return;
    }
    state.sidecars.remove(sidecar);
    state
        .queues
        .ofService(peer.service())
        .forEach(queue -> queue.sentDemand.remove(peer.instance()));
    attempts.onSidecarDisconnected(sidecar, nowNanos);
    demand.onSidecarsChanged(peer.service());
  }

  /** Handles the start of this process's shutdown: other routers allocate the slots from now on. */
  public void onStopAnnounced(long nowNanos) {
    setRouterLeaving(state.self, true, nowNanos);
  }

  /** Updates which sidecars are leaving. */
  public void onInstancesActivated(InstanceList list) {
    for (ConnectedSidecar sidecar : state.sidecars.updateLeaving(list)) {
      demand.onSidecarsChanged(sidecar.peer.service());
    }
  }

  /** Handles one message; a message of a sidecar that has been disconnected is dropped. */
  public void onMessage(PeerIdentity peer, LinkMessage message, long nowNanos) {
    ConnectedSidecar sidecar = state.sidecars.findByIdentity(peer);
    if (message instanceof SuspicionReport report) {
      onSuspicionReport(peer, report, nowNanos);
    } else if (message instanceof DirectCrashReport report) {
      state.directCrashes.onReport(report, nowNanos);
    } else if (peer.role() == Role.ROUTER && message instanceof Heartbeat heartbeat) {
      setRouterLeaving(peer, heartbeat.draining(), nowNanos);
    } else if (sidecar != null) {
      onSidecarMessage(sidecar, message, nowNanos);
    }
  }

  private void onSidecarMessage(ConnectedSidecar sidecar, LinkMessage message, long nowNanos) {
    switch (message) {
      case Heartbeat heartbeat -> onHeartbeat(sidecar, heartbeat);
      case FreeSlots free -> demand.onFreeSlots(sidecar);
      case Grant grant -> grants.onGrant(sidecar, grant, nowNanos);
      case AttemptHead(AttemptId attempt, ResponseHead head) ->
          withCurrentRequest(
              sidecar, attempt, request -> attempts.onResponseHead(request, head, nowNanos));
      case AttemptContent(AttemptId attempt, int frame, Bytes content) ->
          withCurrentRequest(
              sidecar,
              attempt,
              request -> attempts.onResponseContent(request, frame, content, nowNanos));
      case AttemptEnd(AttemptId attempt, int frames, double cost) ->
          withCurrentRequest(
              sidecar,
              attempt,
              request -> attempts.onResponseEnded(request, frames, cost, nowNanos));
      case AttemptNotRun(AttemptId attempt, Reason reason) ->
          withCurrentRequest(
              sidecar,
              attempt,
              request -> attempts.onAttemptNotRun(request, reason, false, nowNanos));
      case AttemptFailed(AttemptId attempt, Reason reason) ->
          withCurrentRequest(
              sidecar, attempt, request -> attempts.onAttemptFailed(request, reason, nowNanos));
      default -> {
        // Other messages are handled by other decisions.
      }
    }
  }

  /**
   * Runs an action on the request of an attempt, unless the attempt is no longer its current one.
   */
  private void withCurrentRequest(
      ConnectedSidecar sidecar, AttemptId attempt, Consumer<RoutedRequest> action) {
    RoutedRequest request = state.requests.get(attempt.request());
    if (request != null && attempt.equals(request.currentAttempt) && request.target == sidecar) {
      action.accept(request);
    }
  }

  private void onHeartbeat(ConnectedSidecar sidecar, Heartbeat heartbeat) {
    sidecar.clockMillis = OptionalLong.of(heartbeat.clockMillis());
    if (state.sidecars.setDraining(sidecar, heartbeat.draining())) {
      demand.onSidecarsChanged(sidecar.peer.service());
    }
  }

  private void setRouterLeaving(PeerIdentity peer, boolean leaving, long nowNanos) {
    boolean changed =
        leaving
            ? state.leavingRouters.add(peer.instance())
            : state.leavingRouters.remove(peer.instance());
    if (changed) {
      allocatorPlacement.onRoutersChanged(state.allocatorCandidates(), nowNanos);
    }
  }

  private void onSuspicionReport(PeerIdentity peer, SuspicionReport report, long nowNanos) {
    List<Suspicion> changed = state.quarantine.addReports(report.suspicions(), nowNanos);
    for (String router : state.routers.keySet()) {
      if (!router.equals(peer.instance())) {
        sendSuspicions(router, changed);
      }
    }
  }

  private void sendSuspicions(String router, List<Suspicion> suspicions) {
    if (!suspicions.isEmpty()) {
      state.outbox.send(router, new SuspicionReport(suspicions));
    }
  }

  private void failPinnedToOtherIncarnation(PeerIdentity peer, long nowNanos) {
    for (WaitingQueue queue : state.queues.ofService(peer.service())) {
      for (RoutedRequest request : queue.pinnedTo(peer.instance())) {
        if (request.call.ticket().orElseThrow().incarnation() != peer.incarnation()) {
          lifecycle.fail(request, Reason.TICKET_HOME_GONE, nowNanos);
        }
      }
    }
  }
}

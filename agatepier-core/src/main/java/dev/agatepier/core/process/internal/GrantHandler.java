package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Reason;

/** Responds to a sidecar's grant with an attempt for a waiting request, or declines the grant. */
public final class GrantHandler {

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final DemandPublisher demand;

  /** Creates a handler that starts attempts through the lifecycle of requests. */
  public GrantHandler(RouterState state, RequestLifecycle lifecycle, DemandPublisher demand) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.demand = demand;
  }

  /** Starts the request of the workspace that suits the sidecar best, or declines the grant. */
  public void onGrant(ConnectedSidecar sidecar, Grant grant, long nowNanos) {
    WaitingQueue queue = state.queues.find(sidecar.peer.service(), grant.workspace());
    RoutedRequest request = queue == null ? null : selectRequest(sidecar, queue, nowNanos);
    if (request == null) {
      state.outbox.send(sidecar.name(), new GrantDeclined(grant.grantNumber()));
    } else {
      start(request, sidecar, grant.grantNumber(), nowNanos);
    }
    if (queue != null) {
      demand.markStale(queue, sidecar);
    }
  }

  private void start(RoutedRequest request, ConnectedSidecar sidecar, long grant, long nowNanos) {
    boolean exclusive = state.quarantine.isSuspect(request, nowNanos);
    AttemptId attempt = lifecycle.start(request, sidecar, exclusive, nowNanos);
    state.outbox.send(
        sidecar.name(),
        new StartAttempt(
            grant,
            attempt,
            request.call.workspace(),
            request.call.head(),
            request.call.body(),
            (request.deadlineNanos - nowNanos) / RouterState.NANOS_PER_MILLI,
            request.plan.idempotent(),
            exclusive,
            request.fingerprint(),
            request.call.ticket(),
            state.policy.windowBytes()));
  }

  private RoutedRequest selectRequest(ConnectedSidecar sidecar, WaitingQueue queue, long nowNanos) {
    int limit = state.limits(queue.use.workspace).running();
    if (!sidecar.acceptsWork() || queue.use.running >= limit) {
      return null;
    }
    queue.advance(nowNanos);
    boolean sameRegion = state.sidecars.sameRegion(sidecar);
    RoutedRequest request = queue.pick(sidecar.name(), sameRegion);
    while (request != null && removeIfBlocked(request, nowNanos)) {
      request = queue.pick(sidecar.name(), sameRegion);
    }
    return request;
  }

  /**
   * Fails a quarantined request, and parks a suspect one while its fingerprint is running.
   *
   * @return whether the request left its queue
   */
  private boolean removeIfBlocked(RoutedRequest request, long nowNanos) {
    if (state.quarantine.isQuarantined(request, nowNanos)) {
      lifecycle.fail(request, Reason.QUARANTINED, nowNanos);
      return true;
    }
    if (state.quarantine.isSuspect(request, nowNanos)
        && state.fingerprints.isRunning(request.fingerprint())) {
      lifecycle.park(request);
      return true;
    }
    return false;
  }
}

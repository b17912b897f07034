package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.StartAttempt;
import dev.agatepier.core.process.RouterEffect.EndAnswer;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;

/** Moves requests from one phase to the next and keeps every count in step. */
public final class RequestLifecycle {

  /** How long a retry is kept away from the sidecar that failed it. */
  private static final long AVOID_NANOS = 200_000_000;

  private final RouterState state;
  private final DemandPublisher demand;

  /** Creates the lifecycle. */
  public RequestLifecycle(RouterState state, DemandPublisher demand) {
    this.state = state;
    this.demand = demand;
  }

  void admit(RoutedRequest request, long nowNanos) {
    state.requests.put(request.id(), request);
    state.timers.add(request);
    request.queue.use.charge(request.estimatedCost);
    request.queue.use.waiting++;
    request.queue.retries.earn(state.retryShare(request.queue.service));
    enqueue(request, state.affinity.sidecar(request.call), nowNanos);
  }

  void park(RoutedRequest request) {
    request.queue.remove(request);
    request.phase = Phase.PARKED;
    state.fingerprints.park(request);
    demand.changed(request.queue);
  }

  void start(
      RoutedRequest request, LinkedSidecar sidecar, long grant, boolean alone, long nowNanos) {
    WaitingQueue queue = request.queue;
    queue.remove(request);
    queue.drainRate.depart(nowNanos);
    queue.use.waiting--;
    queue.use.running++;
    state.fingerprints.started(request.fingerprint());
    AttemptId attempt = request.begin(sidecar, alone, nowNanos);
    state.outbox.send(
        sidecar.name(),
        new StartAttempt(
            grant,
            attempt,
            request.call.workspace(),
            request.call.head(),
            request.call.body(),
            (request.deadlineNanos - nowNanos) / RouterState.NANOS_PER_MILLI,
            request.idempotent,
            alone,
            request.fingerprint(),
            request.call.ticket(),
            state.policy.windowBytes()));
    demand.changed(queue);
    runningChanged(queue);
  }

  /** Returns a request that was sent to its queue, away from the sidecar that had it. */
  void requeue(RoutedRequest request, long nowNanos) {
    final String avoided = request.lastSidecar;
    leaveSidecar(request, nowNanos);
    request.phase = Phase.WAITING;
    request.queue.use.waiting++;
    beginDraining(request.queue, nowNanos);
    if (request.ticketed()) {
      request.queue.addPinned(request, avoided);
    } else {
      request.queue.addAvoiding(request, avoided, nowNanos + AVOID_NANOS);
    }
    demand.changed(request.queue);
  }

  void complete(RoutedRequest request, double cost, long nowNanos) {
    request.queue.observeCost(cost);
    request.queue.use.charge(cost - request.estimatedCost);
    state.affinity.served(request.call, request.lastSidecar);
    if (request.alone) {
      state.quarantine.clear(request.fingerprint());
    }
    remove(request, nowNanos);
    state.outbox.add(new EndAnswer(request.id(), request.facts(cost, nowNanos)));
  }

  void fail(RoutedRequest request, Reason reason, long nowNanos) {
    fail(request, reason, 0, nowNanos);
  }

  void fail(RoutedRequest request, Reason reason, double cost, long nowNanos) {
    Outcome outcome = request.provenNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    if (outcome == Outcome.NOT_RUN || cost > 0) {
      request.queue.use.charge(cost - request.estimatedCost);
    }
    remove(request, nowNanos);
    state.outbox.add(
        new FailRequest(request.id(), outcome, reason, 0, request.facts(cost, nowNanos)));
  }

  private void enqueue(RoutedRequest request, String preferred, long nowNanos) {
    beginDraining(request.queue, nowNanos);
    request.phase = Phase.WAITING;
    LinkedSidecar sidecar = preferred == null ? null : state.sidecars.named(preferred);
    if (request.ticketed()) {
      request.queue.addPinned(request, request.call.ticket().get().sidecar());
    } else if (sidecar != null && sidecar.takesWork() && state.sidecars.sameRegion(sidecar)) {
      long holdNanos = state.policy.affinityMillis() * RouterState.NANOS_PER_MILLI;
      request.queue.addAffine(request, preferred, nowNanos + holdNanos);
    } else {
      request.queue.addOpen(request);
    }
    demand.changed(request.queue);
  }

  private void beginDraining(WaitingQueue queue, long nowNanos) {
    state.queues.touch(queue, nowNanos);
    if (queue.size() == 0) {
      queue.drainRate.begin(nowNanos);
    }
  }

  private void remove(RoutedRequest request, long nowNanos) {
    state.requests.remove(request.id());
    state.timers.remove(request);
    state.queues.touch(request.queue, nowNanos);
    switch (request.phase) {
      case WAITING -> {
        request.queue.remove(request);
        request.queue.use.waiting--;
        demand.changed(request.queue);
        release(request.fingerprint(), nowNanos);
      }
      case PARKED -> {
        state.fingerprints.unpark(request);
        request.queue.use.waiting--;
      }
      default -> leaveSidecar(request, nowNanos);
    }
  }

  private void leaveSidecar(RoutedRequest request, long nowNanos) {
    request.leaveSidecar();
    state.fingerprints.ended(request.fingerprint());
    runningChanged(request.queue);
    request.queue.use.running--;
    release(request.fingerprint(), nowNanos);
  }

  private void runningChanged(WaitingQueue queue) {
    String workspace = queue.use.workspace;
    demand.runningChanged(workspace, queue.use.running >= state.limits(workspace).running());
  }

  private void release(Fingerprint fingerprint, long nowNanos) {
    boolean all = state.quarantine.deaths(fingerprint, nowNanos) == 0;
    for (RoutedRequest request : state.fingerprints.released(fingerprint, all)) {
      state.fingerprints.unpark(request);
      enqueue(request, null, nowNanos);
    }
  }
}

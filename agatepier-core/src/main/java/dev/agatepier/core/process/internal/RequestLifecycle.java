package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEffect.EndResponse;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;

/**
 * Moves requests between phases, and updates the counters of queues, workspaces and fingerprints.
 */
public final class RequestLifecycle {

  private final RouterState state;
  private final DemandPublisher demand;

  /** Creates a lifecycle that reports changes of running requests to {@code demand}. */
  public RequestLifecycle(RouterState state, DemandPublisher demand) {
    this.state = state;
    this.demand = demand;
  }

  void admit(RoutedRequest request, long nowNanos) {
    state.requests.put(request.id(), request);
    request.timerNanos = state.stop.timerNanos(request, nowNanos);
    state.timers.add(request);
    request.queue.usage.charge(request.estimatedCost);
    request.queue.usage.waiting++;
    request.queue.retries.deposit(state.retryShare(request.queue.service));
    enqueue(request, nowNanos);
  }

  void park(RoutedRequest request) {
    request.placement.remove(request);
    request.phase = Phase.PARKED;
    request.parkedBefore = true;
    state.fingerprints.park(request);
  }

  /**
   * Removes a waiting request from its queue, assigns it to a target and returns the new attempt.
   *
   * @param exclusive whether the attempt must run exclusively
   */
  AttemptId start(RoutedRequest request, AttemptTarget target, boolean exclusive, long nowNanos) {
    request.placement.recordStarted(request, nowNanos);
    if (request.attempts == 0) {
      state.times.recordWait(request.plan.route(), nowNanos - request.arrivedNanos);
    }
    request.queue.usage.waiting--;
    request.queue.usage.running++;
    state.fingerprints.addRunning(request.fingerprint());
    AttemptId attempt = request.startAttempt(target, exclusive, nowNanos);
    updateTimer(request, nowNanos);
    publishRunning(request.queue);
    return attempt;
  }

  /** Returns a sent request to its queue; its next attempt avoids the current target. */
  void requeue(RoutedRequest request, SlotStage stage, long nowNanos) {
    final String avoided = request.lastTarget;
    releaseTarget(request, stage, nowNanos);
    request.phase = Phase.WAITING;
    request.queue.usage.waiting++;
    request.placement.requeue(request, avoided, nowNanos);
    updateTimer(request, nowNanos);
  }

  /** Sets the timer of a request to its deadline, or to what a stop of the router leaves. */
  void updateTimer(RoutedRequest request, long nowNanos) {
    long timerNanos = state.stop.timerNanos(request, nowNanos);
    if (timerNanos != request.timerNanos) {
      state.timers.reschedule(request, timerNanos);
    }
  }

  void complete(RoutedRequest request, double cost, long nowNanos) {
    request.queue.observeCost(cost);
    state.times.recordRun(
        request.plan.route(), request.call.prompt(), nowNanos - request.sentNanos);
    request.queue.usage.charge(cost - request.estimatedCost);
    state.affinity.recordServed(request.call, request.lastTarget);
    if (request.exclusive) {
      state.quarantine.clear(request.fingerprint());
    }
    if (!request.upstreamError) {
      state.directCrashes.onCompleted(request, nowNanos);
    }
    remove(request, request.upstreamError ? SlotStage.FAILED : SlotStage.COMPLETED, nowNanos);
    state.outbox.add(new EndResponse(request.id(), request.metadata(cost, nowNanos)));
  }

  void fail(RoutedRequest request, Reason reason, long nowNanos) {
    boolean elsewhere = reason == Reason.DRAINING && request.provenNotRun();
    fail(request, reason, 0, elsewhere ? Admission.DRAINING_RETRY_MILLIS : 0, nowNanos);
  }

  void fail(
      RoutedRequest request, Reason reason, double cost, long retryAfterMillis, long nowNanos) {
    Outcome outcome = request.provenNotRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    if (outcome == Outcome.NOT_RUN || cost > 0) {
      request.queue.usage.charge(cost - request.estimatedCost);
    }
    request.placement.recordFailed(request);
    remove(request, stage(reason), nowNanos);
    state.outbox.add(
        new FailRequest(
            request.id(), outcome, reason, retryAfterMillis, request.metadata(cost, nowNanos)));
  }

  /** Returns the state change of a slot whose attempt ends for a reason. */
  static SlotStage stage(Reason reason) {
    return switch (reason) {
      case CALLER_GONE, DEADLINE, DRAINING, WITHDRAWN -> SlotStage.CANCELLED;
      case UPSTREAM_UNREACHABLE, UPSTREAM_DIED, ANSWER_INCOMPLETE -> SlotStage.DISCONNECTED;
      default -> SlotStage.FAILED;
    };
  }

  private void enqueue(RoutedRequest request, long nowNanos) {
    request.phase = Phase.WAITING;
    request.placement.add(request, nowNanos);
  }

  private void remove(RoutedRequest request, SlotStage stage, long nowNanos) {
    state.requests.remove(request.id());
    state.timers.remove(request);
    state.queues.touch(request.queue, nowNanos);
    switch (request.phase) {
      case WAITING -> {
        request.placement.remove(request);
        request.queue.usage.waiting--;
        releaseParked(request.fingerprint(), nowNanos);
      }
      case PARKED -> {
        state.fingerprints.unpark(request);
        request.queue.usage.waiting--;
      }
      default -> releaseTarget(request, stage, nowNanos);
    }
  }

  private void releaseTarget(RoutedRequest request, SlotStage stage, long nowNanos) {
    request.placement.recordReleased(request, stage, nowNanos);
    request.clearTarget();
    state.fingerprints.removeRunning(request.fingerprint());
    publishRunning(request.queue);
    request.queue.usage.running--;
    releaseParked(request.fingerprint(), nowNanos);
  }

  private void publishRunning(WaitingQueue queue) {
    String workspace = queue.usage.workspace;
    demand.onRunningChanged(workspace, queue.usage.running >= state.limits(workspace).running());
  }

  private void releaseParked(Fingerprint fingerprint, long nowNanos) {
    boolean all = state.quarantine.crashCount(fingerprint, nowNanos) == 0;
    for (RoutedRequest request : state.fingerprints.releasable(fingerprint, all)) {
      state.fingerprints.unpark(request);
      enqueue(request, nowNanos);
    }
  }
}

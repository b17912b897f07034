package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.request.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** The occupied slots of one service and the cost charged to workspaces for them. */
final class SlotAllocations {

  private static final double NANOS_PER_MILLI = 1e6;

  private final String service;
  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final List<SlotAllocatorEffect> effects;
  private final PredictionError error;
  private final ResponseLengths lengths;
  private final Map<RequestId, SlotAllocation> allocations = new HashMap<>();

  SlotAllocations(
      String service,
      SlotRule rule,
      WorkspaceLedger ledger,
      List<SlotAllocatorEffect> effects,
      PredictionError error,
      ResponseLengths lengths) {
    this.lengths = lengths;
    this.service = service;
    this.effects = effects;
    this.rule = rule;
    this.ledger = ledger;
    this.error = error;
  }

  boolean isEmpty() {
    return allocations.isEmpty();
  }

  int size() {
    return allocations.size();
  }

  /** Returns whether a request of a router holds a slot. */
  boolean holds(String router, RequestId request) {
    SlotAllocation allocation = allocations.get(request);
    return allocation != null && allocation.router.equals(router);
  }

  /** Allocates a slot to a request and charges its workspace the expected cost. */
  void allocate(
      String router,
      WaitingCall call,
      UpstreamLoad upstream,
      boolean responseStarted,
      long nowNanos) {
    double cost = rule.expectedCost(call);
    double firstByteMillis = rule.firstByteMillis(upstream, call);
    SlotAllocation allocation =
        new SlotAllocation(
            router,
            call,
            upstream,
            nowNanos,
            cost,
            ledger.decayExponent(),
            ModelSlotRule.uncachedTokens(upstream, call),
            firstByteMillis,
            rule.backlogMillis(upstream, nowNanos) + firstByteMillis);
    allocation.output = lengths.expected(call.workspace(), call.prompt());
    upstream.add(allocation, responseStarted);
    allocations.put(call.request(), allocation);
    ledger.addInFlight(call.workspace(), 1);
    ledger.addRunning(call.workspace(), 1);
    ledger.charge(call.workspace(), cost);
  }

  /** Applies a router's change to a slot of one of its requests; ignores any other change. */
  void onSlotChange(String router, SlotChange change, long nowNanos) {
    SlotAllocation allocation = allocations.get(change.request());
    if (allocation == null
        || !allocation.router.equals(router)
        || !allocation.upstream.upstream.name().equals(change.upstream())) {
      return;
    }
    change.load().ifPresent(load -> recordStated(allocation.upstream, load, nowNanos));
    if (change.stage() == SlotStage.RESPONSE_STARTED) {
      recordPrediction(allocation, nowNanos);
      allocation.upstream.continuity.onResponse(allocation.grantedNanos, nowNanos);
      allocation.upstream.recordResponseStarted(allocation, nowNanos);
    } else {
      if (change.longestGapMillis() > 0) {
        allocation.upstream.prefillRun.recordLongestGap(change.longestGapMillis());
      }
      release(allocation, change.stage(), change.amount(), nowNanos);
    }
  }

  private static void recordStated(UpstreamLoad upstream, ReceivedLoad load, long nowNanos) {
    upstream.estimate.recordStated(load, nowNanos);
    upstream.refresh(nowNanos);
  }

  /** Compares the start of a response with what was expected at the grant. */
  private void recordPrediction(SlotAllocation allocation, long nowNanos) {
    if (allocation.responseStarted) {
      return;
    }
    allocation.startedNanos = OptionalLong.of(nowNanos);
    double observedMillis = (nowNanos - allocation.grantedNanos) / NANOS_PER_MILLI;
    UpstreamLoad upstream = allocation.upstream;
    upstream.estimate.recordPrediction(allocation.expectedMillis, observedMillis);
    error.observe(allocation.expectedMillis, observedMillis);
    if (upstream.usesEstimate()) {
      effects.add(
          new SlotAllocatorEffect.StartPredicted(
              service, Math.round(allocation.expectedMillis), Math.round(observedMillis)));
    }
  }

  /** Records the times of a completed request. */
  private static void recordCompleted(SlotAllocation allocation, long amount, long nowNanos) {
    UpstreamLoadEstimate estimate = allocation.upstream.estimate;
    estimate.recordRequest((nowNanos - allocation.grantedNanos) / NANOS_PER_MILLI);
    if (allocation.call.prompt().isPresent() && allocation.startedNanos.isPresent() && amount > 0) {
      estimate.recordOutput(
          (nowNanos - allocation.startedNanos.getAsLong()) / NANOS_PER_MILLI / amount,
          allocation.upstream.running());
    }
  }

  /** Releases every slot that requests of a router occupy. */
  void releaseRouter(String router, long nowNanos) {
    List.copyOf(allocations.values()).stream()
        .filter(allocation -> allocation.router.equals(router))
        .forEach(allocation -> release(allocation, SlotStage.CANCELLED, 0, nowNanos));
  }

  private void release(SlotAllocation allocation, SlotStage stage, long amount, long nowNanos) {
    final String workspace = allocation.call.workspace();
    allocations.remove(allocation.call.request());
    double cost = allocation.responseStarted ? rule.actualCost(allocation.call, amount) : 0;
    switch (stage) {
      case COMPLETED -> {
        cost = rule.actualCost(allocation.call, amount);
        rule.observe(amount);
        allocation.call.prompt().ifPresent(prompt -> lengths.observe(workspace, prompt, amount));
        recordCompleted(allocation, amount, nowNanos);
        allocation.upstream.continuity.onResponse(allocation.grantedNanos, nowNanos);
        allocation.upstream.health.recordSuccess();
        allocation.upstream.warmUp.onResponse(nowNanos);
      }
      case REJECTED, FAILED -> allocation.upstream.health.recordFailure(nowNanos);
      case DISCONNECTED -> {
        allocation.upstream.health.recordFailure(nowNanos);
        allocation.upstream.continuity.onDisconnected(nowNanos);
        if (allocation.upstream.health.ejectedUntilNanos() > nowNanos) {
          allocation.upstream.warmUp.onDisconnected();
        }
      }
      case REPLACED -> allocation.upstream.continuity.onReplaced(nowNanos);
      default -> {
        // Not a fault of the upstream.
      }
    }
    allocation.upstream.remove(allocation, nowNanos);
    ledger.addInFlight(workspace, -1);
    ledger.addRunning(workspace, -1);
    ledger.correct(workspace, cost - allocation.chargedCost, allocation.chargedExponent);
  }
}

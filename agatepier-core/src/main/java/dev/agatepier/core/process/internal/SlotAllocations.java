package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The occupied slots of one service and the cost charged to workspaces for them. */
final class SlotAllocations {

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final Map<RequestId, SlotAllocation> allocations = new HashMap<>();

  SlotAllocations(SlotRule rule, WorkspaceLedger ledger) {
    this.rule = rule;
    this.ledger = ledger;
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
    SlotAllocation allocation =
        new SlotAllocation(
            router,
            call,
            upstream,
            nowNanos,
            cost,
            ledger.decayExponent(),
            ModelSlotRule.uncachedTokens(upstream, call),
            rule.firstByteMillis(upstream, call));
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
    if (change.stage() == SlotStage.RESPONSE_STARTED) {
      allocation.upstream.recordResponseStarted(allocation, nowNanos);
    } else {
      release(allocation, change.stage(), change.amount(), nowNanos);
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
        allocation.upstream.health.recordSuccess();
      }
      case REJECTED, FAILED -> allocation.upstream.health.recordFailure(nowNanos);
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

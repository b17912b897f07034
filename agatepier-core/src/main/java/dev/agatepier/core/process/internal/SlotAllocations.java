package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The slots of one service that requests hold, and what their workspaces are charged for them. */
final class SlotAllocations {

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final Map<RequestId, SlotAllocation> entries = new HashMap<>();

  SlotAllocations(SlotRule rule, WorkspaceLedger ledger) {
    this.rule = rule;
    this.ledger = ledger;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /** Gives a request a slot and charges its workspace with the expected cost. */
  void allocate(
      String router, WaitingCall call, UpstreamLoad upstream, boolean begun, long nowNanos) {
    double cost = rule.expectedCost(call);
    SlotAllocation entry =
        new SlotAllocation(
            router,
            call,
            upstream,
            nowNanos,
            cost,
            ModelSlotRule.uncachedTokens(upstream, call),
            rule.firstByteMillis(upstream, call));
    upstream.add(entry, begun);
    entries.put(call.request(), entry);
    ledger.addInFlight(call.workspace(), 1);
    ledger.addRunning(call.workspace(), 1);
    ledger.charge(call.workspace(), cost);
  }

  /** Takes a router's word on a slot that one of its requests holds; any other is dropped. */
  void onSlotChange(String router, SlotChange change, long nowNanos) {
    SlotAllocation entry = entries.get(change.request());
    if (entry == null
        || !entry.router.equals(router)
        || !entry.upstream.upstream.name().equals(change.upstream())) {
      return;
    }
    if (change.stage() == SlotStage.RESPONSE_STARTED) {
      entry.upstream.recordResponseStarted(entry, nowNanos);
    } else {
      release(entry, change.stage(), change.amount(), nowNanos);
    }
  }

  /** Frees every slot that requests of a router hold. */
  void releaseRouter(String router, long nowNanos) {
    List.copyOf(entries.values()).stream()
        .filter(entry -> entry.router.equals(router))
        .forEach(entry -> release(entry, SlotStage.CANCELLED, 0, nowNanos));
  }

  private void release(SlotAllocation entry, SlotStage stage, long amount, long nowNanos) {
    final String workspace = entry.call.workspace();
    entries.remove(entry.call.request());
    double cost = entry.responseStarted ? rule.actualCost(entry.call, amount) : 0;
    switch (stage) {
      case COMPLETED -> {
        cost = rule.actualCost(entry.call, amount);
        rule.observe(amount);
        entry.upstream.health.recordSuccess();
      }
      case REJECTED, FAILED -> entry.upstream.health.recordFailure(nowNanos);
      default -> {
        // The upstream is not to blame.
      }
    }
    entry.upstream.remove(entry, nowNanos);
    ledger.addInFlight(workspace, -1);
    ledger.addRunning(workspace, -1);
    ledger.charge(workspace, cost - entry.chargedCost);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The slots of one service that requests hold, and what their workspaces are charged for them. */
final class HeldSlots {

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final Map<RequestId, HeldEntry> entries = new HashMap<>();

  HeldSlots(SlotRule rule, WorkspaceLedger ledger) {
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
  void hold(String router, WaitingCall call, UpstreamLoad upstream, boolean begun, long nowNanos) {
    double cost = rule.expectedCost(call);
    HeldEntry entry =
        new HeldEntry(
            router,
            call,
            upstream,
            nowNanos,
            cost,
            ModelSlotRule.unreadTokens(upstream, call),
            rule.ownMillis(upstream, call));
    upstream.add(entry, begun);
    entries.put(call.request(), entry);
    ledger.addInFlight(call.workspace(), 1);
    ledger.addRunning(call.workspace(), 1);
    ledger.charge(call.workspace(), cost);
  }

  /** Takes a router's word on a slot that one of its requests holds; any other is dropped. */
  void changed(String router, SlotChange change, long nowNanos) {
    HeldEntry entry = entries.get(change.request());
    if (entry == null
        || !entry.router.equals(router)
        || !entry.upstream.upstream.name().equals(change.upstream())) {
      return;
    }
    if (change.stage() == SlotStage.RESPONSE_STARTED) {
      entry.upstream.begun(entry, nowNanos);
    } else {
      release(entry, change.stage(), change.amount(), nowNanos);
    }
  }

  /** Frees every slot that requests of a router hold. */
  void dropRouter(String router, long nowNanos) {
    List.copyOf(entries.values()).stream()
        .filter(entry -> entry.router.equals(router))
        .forEach(entry -> release(entry, SlotStage.CANCELLED, 0, nowNanos));
  }

  private void release(HeldEntry entry, SlotStage stage, long amount, long nowNanos) {
    final String workspace = entry.call.workspace();
    entries.remove(entry.call.request());
    double cost = entry.begun ? rule.finalCost(entry.call, amount) : 0;
    switch (stage) {
      case COMPLETED -> {
        cost = rule.finalCost(entry.call, amount);
        rule.observe(amount);
        entry.upstream.health.succeeded();
      }
      case REJECTED, FAILED -> entry.upstream.health.failed(nowNanos);
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

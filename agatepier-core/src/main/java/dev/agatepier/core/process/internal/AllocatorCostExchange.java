package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Exchanges costs between the slot allocators of a service in different data centres, so that each
 * orders workspaces by their fleet-wide cost. Messages carry cumulative totals and receivers charge
 * the difference to the previous total, so lost and duplicate messages are harmless.
 */
final class AllocatorCostExchange {

  /** Least time between two messages. */
  private static final long MIN_INTERVAL_NANOS = 250_000_000L;

  /** Time after which all totals are sent again, for allocators that started since. */
  private static final long FULL_INTERVAL_NANOS = 5_000_000_000L;

  private final WorkspaceLedger ledger;
  private final Map<String, Map<String, Double>> receivedByRouter = new HashMap<>();
  private long sentNanos;
  private long sentAllNanos;

  AllocatorCostExchange(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns the totals to send to the other allocators now; empty before the interval is over. */
  List<WorkspaceCost> takeDue(long nowNanos) {
    if (nowNanos - sentNanos < MIN_INTERVAL_NANOS) {
      return List.of();
    }
    sentNanos = nowNanos;
    Set<String> changed = ledger.takeCharged();
    boolean all = nowNanos - sentAllNanos >= FULL_INTERVAL_NANOS;
    sentAllNanos = all ? nowNanos : sentAllNanos;
    List<WorkspaceCost> costs = new ArrayList<>();
    for (WorkspaceAccount account : ledger.accounts()) {
      if (account.localCost() > 0 && (all || changed.contains(account.name()))) {
        costs.add(new WorkspaceCost(account.name(), account.localCost()));
      }
    }
    return costs;
  }

  /** Charges what another allocator's totals grew by since its previous message. */
  void onCosts(String router, List<WorkspaceCost> costs) {
    Map<String, Double> totals = receivedByRouter.computeIfAbsent(router, name -> new HashMap<>());
    for (WorkspaceCost cost : costs) {
      Double previous = totals.get(cost.workspace());
      if (previous == null) {
        totals.put(cost.workspace(), cost.cost());
      } else if (cost.cost() > previous) {
        totals.put(cost.workspace(), cost.cost());
        ledger.chargeFleet(cost.workspace(), cost.cost() - previous);
      }
    }
  }

  /** Drops the totals of a router: a new process under the same name starts again from zero. */
  void removeRouter(String router) {
    receivedByRouter.remove(router);
  }
}

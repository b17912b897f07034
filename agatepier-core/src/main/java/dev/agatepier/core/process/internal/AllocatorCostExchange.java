package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the keepers of a service tell each other of the costs that workspaces caused in their data
 * centres, so that each serves by what a workspace had in the whole fleet. Costs are absolute, and
 * only what was added since the last word counts: loss and repetition do no harm.
 */
final class AllocatorCostExchange {

  /** Time between two words on costs. */
  private static final long SPACING_NANOS = 250_000_000L;

  /** Time after which everything is told again, for keepers that are new. */
  private static final long REPEAT_NANOS = 5_000_000_000L;

  private final WorkspaceLedger ledger;
  private final Map<String, Map<String, Double>> heard = new HashMap<>();
  private long toldNanos;
  private long toldAllNanos;

  AllocatorCostExchange(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns the costs that the other keepers should be told now; none if it is not time. */
  List<WorkspaceCost> takeDue(long nowNanos) {
    if (nowNanos - toldNanos < SPACING_NANOS) {
      return List.of();
    }
    toldNanos = nowNanos;
    Set<String> changed = ledger.takeCharged();
    boolean all = nowNanos - toldAllNanos >= REPEAT_NANOS;
    toldAllNanos = all ? nowNanos : toldAllNanos;
    List<WorkspaceCost> costs = new ArrayList<>();
    for (WorkspaceAccount account : ledger.accounts()) {
      if (account.localCost() > 0 && (all || changed.contains(account.name()))) {
        costs.add(new WorkspaceCost(account.name(), account.localCost()));
      }
    }
    return costs;
  }

  /** Takes what another keeper says. */
  void onCosts(String router, List<WorkspaceCost> costs) {
    Map<String, Double> last = heard.computeIfAbsent(router, name -> new HashMap<>());
    for (WorkspaceCost cost : costs) {
      Double before = last.get(cost.workspace());
      if (before == null) {
        last.put(cost.workspace(), cost.cost());
      } else if (cost.cost() > before) {
        last.put(cost.workspace(), cost.cost());
        ledger.chargeFleet(cost.workspace(), cost.cost() - before);
      }
    }
  }

  /** Forgets a router: another process under its name counts anew. */
  void removeRouter(String router) {
    heard.remove(router);
  }
}

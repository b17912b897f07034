package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SequencedMap;
import java.util.Set;

/**
 * Exchanges costs between the slot allocators of a service in different data centres, so that each
 * orders workspaces by their fleet-wide cost. Messages carry the cost of each workspace at the
 * sender with all decay applied, and replace what the sender reported before. So lost and duplicate
 * messages cause no error, and a new allocator has the complete costs with the first message.
 */
final class AllocatorCostExchange {

  /** Minimum time between two messages. */
  private static final long MIN_INTERVAL_NANOS = 250_000_000L;

  /** Time after which all costs are sent again, for allocators that started since. */
  private static final long FULL_INTERVAL_NANOS = 5_000_000_000L;

  /** Cost below which a workspace is left out, in cost units. */
  private static final double NEGLIGIBLE_COST = 1;

  /** Maximum number of routers whose reports are kept; more than there are data centres. */
  private static final int MAXIMUM_ROUTERS = 256;

  private final WorkspaceLedger ledger;
  private final SequencedMap<String, Report> reports = new LinkedHashMap<>(16, 0.75f, true);
  private long sentNanos;
  private long sentAllNanos;

  /** The costs that a process of a router reported, decayed since. */
  private record Report(long incarnation, Map<String, Double> costs) {}

  AllocatorCostExchange(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns the costs to send to the other allocators now; empty before the interval is over. */
  Optional<List<WorkspaceCost>> takeDue(long nowNanos) {
    if (nowNanos - sentNanos < MIN_INTERVAL_NANOS) {
      return Optional.empty();
    }
    sentNanos = nowNanos;
    Set<String> changed = ledger.takeCharged();
    boolean all = nowNanos - sentAllNanos >= FULL_INTERVAL_NANOS;
    sentAllNanos = all ? nowNanos : sentAllNanos;
    List<WorkspaceCost> costs = new ArrayList<>();
    for (WorkspaceAccount account : ledger.accounts()) {
      boolean due = changed.contains(account.name()) || all;
      if (due && account.localCost() >= NEGLIGIBLE_COST) {
        costs.add(new WorkspaceCost(account.name(), account.localCost()));
      }
    }
    return Optional.of(costs);
  }

  /** Charges the difference between another allocator's costs and those that it had reported. */
  void onCosts(PeerIdentity router, List<WorkspaceCost> costs) {
    Report report = reports.get(router.instance());
    if (report == null || report.incarnation != router.incarnation()) {
      report = new Report(router.incarnation(), new HashMap<>());
      reports.put(router.instance(), report);
      if (reports.size() > MAXIMUM_ROUTERS) {
        reports.pollFirstEntry();
      }
    }
    for (WorkspaceCost cost : costs) {
      Double previous = report.costs.put(cost.workspace(), cost.cost());
      ledger.chargeFleet(cost.workspace(), cost.cost() - (previous == null ? 0 : previous));
    }
  }

  /** Decays the reported costs by the exponent by which those of the ledger decay. */
  void decay(double exponent) {
    double share = Math.exp(-exponent);
    for (Report report : reports.values()) {
      report.costs.replaceAll((workspace, cost) -> cost * share);
      report.costs.values().removeIf(cost -> cost < NEGLIGIBLE_COST);
    }
  }
}

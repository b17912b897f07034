package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.Send;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Reports the cost of each workspace at this sidecar to the cost aggregator, and charges the cost
 * that the aggregator reports for other sidecars.
 *
 * <p>The first report to an aggregator is the full list; a workspace missing from it has no cost.
 * Later reports hold changes only, and the full list is repeated periodically, so that a lost
 * report is made up for. The aggregator's totals are evaluated as increments: the first total of a
 * workspace is a baseline, and only growth after it is charged. The baselines are kept until totals
 * of another aggregator are received.
 */
public final class CostExchange {

  /** Time after which the full list is reported again. */
  private static final long FULL_REPORT_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);

  private final PeerIdentity self;
  private final long reportIntervalNanos;
  private final WorkspaceLedger ledger;
  private final Map<String, Double> reported = new HashMap<>();
  private final Map<String, Double> lastTotals = new HashMap<>();
  private final Set<String> reportedInterest = new TreeSet<>();
  private Optional<PeerIdentity> aggregator = Optional.empty();
  private boolean fullDue;
  private long lastReportNanos;
  private long lastFullReportNanos;
  private long aggregatorIncarnation;

  /**
   * Creates an exchange without an aggregator.
   *
   * @param reportMillis minimum time between two reports, in milliseconds
   */
  public CostExchange(PeerIdentity self, long reportMillis, WorkspaceLedger ledger) {
    this.self = self;
    this.reportIntervalNanos = TimeUnit.MILLISECONDS.toNanos(reportMillis);
    this.ledger = ledger;
  }

  /** Returns the instance name of the cost aggregator; empty for none. */
  public String aggregator() {
    return aggregator.map(PeerIdentity::instance).orElse("");
  }

  /** Selects the aggregator among the connected routers; those of the own data centre go first. */
  public void routersChanged(Collection<PeerIdentity> routers) {
    List<String> local = instanceNames(routers, true);
    List<String> candidates = local.isEmpty() ? instanceNames(routers, false) : local;
    Optional<PeerIdentity> chosen =
        RendezvousHash.choose(self.service(), candidates)
            .flatMap(name -> routers.stream().filter(r -> r.instance().equals(name)).findFirst());
    if (!chosen.equals(aggregator)) {
      aggregator = chosen;
      fullDue = chosen.isPresent();
    }
  }

  /** Schedules a full report if the new link is to the aggregator. */
  public void routerLinked(PeerIdentity router) {
    fullDue |= aggregator.equals(Optional.of(router));
  }

  /** Sends a report if one is due and anything has changed. */
  public void report(long nowNanos, List<SidecarEffect> effects) {
    boolean due = fullDue || nowNanos - lastReportNanos >= reportIntervalNanos;
    if (aggregator.isEmpty() || !due) {
      return;
    }
    fullDue |= nowNanos - lastFullReportNanos >= FULL_REPORT_INTERVAL_NANOS;
    Optional<LinkMessage> report = fullDue ? Optional.of(fullReport(nowNanos)) : changes();
    if (report.isPresent()) {
      effects.add(new Send(aggregator.get().instance(), report.get()));
      lastReportNanos = nowNanos;
    }
  }

  private CostReport fullReport(long nowNanos) {
    fullDue = false;
    lastFullReportNanos = nowNanos;
    reported.clear();
    ledger.takeCharged();
    reportedInterest.clear();
    reportedInterest.addAll(ledger.active());
    return new CostReport(changedCosts(allWorkspaces()), List.copyOf(reportedInterest));
  }

  private Optional<LinkMessage> changes() {
    Set<String> active = ledger.active();
    List<WorkspaceCost> costs = changedCosts(ledger.takeCharged());
    List<String> added = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (String workspace : ledger.takeActiveChanged()) {
      if (active.contains(workspace) && reportedInterest.add(workspace)) {
        added.add(workspace);
      } else if (!active.contains(workspace) && reportedInterest.remove(workspace)) {
        removed.add(workspace);
      }
    }
    return costs.isEmpty() && added.isEmpty() && removed.isEmpty()
        ? Optional.empty()
        : Optional.of(new CostChanges(costs, added, removed));
  }

  /** Charges the growth of the totals; totals of a router other than the aggregator are ignored. */
  public void onFleetCosts(PeerIdentity sender, FleetCosts totals) {
    if (!aggregator.equals(Optional.of(sender))) {
      return;
    }
    if (totals.aggregatorIncarnation() != aggregatorIncarnation) {
      lastTotals.clear();
      aggregatorIncarnation = totals.aggregatorIncarnation();
    }
    for (WorkspaceCost total : totals.costs()) {
      Double last = lastTotals.get(total.workspace());
      if (last == null) {
        lastTotals.put(total.workspace(), total.cost());
      } else if (total.cost() > last) {
        lastTotals.put(total.workspace(), total.cost());
        ledger.chargeFleet(total.workspace(), total.cost() - last);
      }
    }
  }

  private List<WorkspaceCost> changedCosts(Set<String> candidates) {
    List<WorkspaceCost> costs = new ArrayList<>();
    for (String workspace : candidates) {
      double cost = ledger.account(workspace).localCost();
      if (cost != reported.getOrDefault(workspace, 0.0)) {
        costs.add(new WorkspaceCost(workspace, cost));
        reported.put(workspace, cost);
      }
    }
    return costs;
  }

  private Set<String> allWorkspaces() {
    Set<String> names = new TreeSet<>();
    ledger.accounts().forEach(account -> names.add(account.name()));
    return names;
  }

  private List<String> instanceNames(Collection<PeerIdentity> routers, boolean ownDataCentre) {
    return routers.stream()
        .filter(router -> !ownDataCentre || router.dataCentre().equals(self.dataCentre()))
        .map(PeerIdentity::instance)
        .toList();
  }
}

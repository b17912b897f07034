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
 * Tells the holder what each workspace cost here and takes in what it cost elsewhere.
 *
 * <p>The first report to a holder is the full list; a workspace that it leaves out has cost
 * nothing. Later ones hold what changed, and the full list comes again from time to time, so that
 * the loss of one does no lasting harm. Sums of a holder are taken as increments: the first mention
 * of a workspace is a baseline, later only what was added counts. They are kept until another
 * holder tells sums.
 */
public final class CostExchange {

  /** Time after which the full list is told again. */
  private static final long REPEAT_NANOS = TimeUnit.MINUTES.toNanos(5);

  private final PeerIdentity self;
  private final long reportNanos;
  private final WorkspaceLedger ledger;
  private final Map<String, Double> reported = new HashMap<>();
  private final Map<String, Double> lastSums = new HashMap<>();
  private final Set<String> reportedInterest = new TreeSet<>();
  private Optional<PeerIdentity> holder = Optional.empty();
  private boolean fullDue;
  private long reportedNanos;
  private long fullNanos;
  private long sumsIncarnation;

  /**
   * Creates an exchange without a holder.
   *
   * @param reportMillis least time between two reports, in milliseconds
   */
  public CostExchange(PeerIdentity self, long reportMillis, WorkspaceLedger ledger) {
    this.self = self;
    this.reportNanos = TimeUnit.MILLISECONDS.toNanos(reportMillis);
    this.ledger = ledger;
  }

  /** Returns the instance name of the holder; empty for none. */
  public String aggregator() {
    return holder.map(PeerIdentity::instance).orElse("");
  }

  /** Chooses the holder among the linked routers, those of the own data centre first. */
  public void routersChanged(Collection<PeerIdentity> routers) {
    List<String> near = names(routers, true);
    List<String> candidates = near.isEmpty() ? names(routers, false) : near;
    Optional<PeerIdentity> chosen =
        RendezvousHash.choose(self.service(), candidates)
            .flatMap(name -> routers.stream().filter(r -> r.instance().equals(name)).findFirst());
    if (!chosen.equals(holder)) {
      holder = chosen;
      fullDue = chosen.isPresent();
    }
  }

  /** Has everything told to the holder again, because its link is new. */
  public void routerLinked(PeerIdentity router) {
    fullDue |= holder.equals(Optional.of(router));
  }

  /** Reports, if a report is due and anything has changed. */
  public void report(long nowNanos, List<SidecarEffect> effects) {
    boolean due = fullDue || nowNanos - reportedNanos >= reportNanos;
    if (holder.isEmpty() || !due) {
      return;
    }
    fullDue |= nowNanos - fullNanos >= REPEAT_NANOS;
    Optional<LinkMessage> report = fullDue ? Optional.of(fullReport(nowNanos)) : changes();
    if (report.isPresent()) {
      effects.add(new Send(holder.get().instance(), report.get()));
      reportedNanos = nowNanos;
    }
  }

  private CostReport fullReport(long nowNanos) {
    fullDue = false;
    fullNanos = nowNanos;
    reported.clear();
    ledger.takeCharged();
    reportedInterest.clear();
    reportedInterest.addAll(ledger.active());
    return new CostReport(changedCosts(everyWorkspace()), List.copyOf(reportedInterest));
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

  /** Takes in what a router tells, if it is the holder. */
  public void onFleetCosts(PeerIdentity sender, FleetCosts sums) {
    if (!holder.equals(Optional.of(sender))) {
      return;
    }
    if (sums.aggregatorIncarnation() != sumsIncarnation) {
      lastSums.clear();
      sumsIncarnation = sums.aggregatorIncarnation();
    }
    for (WorkspaceCost sum : sums.costs()) {
      Double last = lastSums.get(sum.workspace());
      if (last == null) {
        lastSums.put(sum.workspace(), sum.cost());
      } else if (sum.cost() > last) {
        lastSums.put(sum.workspace(), sum.cost());
        ledger.chargeFleet(sum.workspace(), sum.cost() - last);
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

  private Set<String> everyWorkspace() {
    Set<String> names = new TreeSet<>();
    ledger.accounts().forEach(account -> names.add(account.name()));
    return names;
  }

  private List<String> names(Collection<PeerIdentity> routers, boolean ownDataCentre) {
    return routers.stream()
        .filter(router -> !ownDataCentre || router.dataCentre().equals(self.dataCentre()))
        .map(PeerIdentity::instance)
        .toList();
  }
}

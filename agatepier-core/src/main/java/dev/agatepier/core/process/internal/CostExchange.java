package dev.agatepier.core.process.internal;

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
 * nothing. Sums of a holder are taken as increments: the first mention of a workspace is a
 * baseline, later only what was added counts. They are kept until another holder tells sums.
 */
public final class CostExchange {
  private final PeerIdentity self;
  private final long reportNanos;
  private final WorkspaceLedger ledger;
  private final Map<String, Double> reported = new HashMap<>();
  private final Map<String, Double> lastSums = new HashMap<>();
  private Set<String> reportedInterest = Set.of();
  private Optional<PeerIdentity> holder = Optional.empty();
  private boolean fullDue;
  private long reportedNanos;
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
  public String holder() {
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

  /** Reports, if a report is due and anything has changed. */
  public void report(long nowNanos, List<SidecarEffect> effects) {
    boolean due = fullDue || nowNanos - reportedNanos >= reportNanos;
    if (holder.isEmpty() || !due) {
      return;
    }
    if (fullDue) {
      reported.clear();
    }
    List<WorkspaceCost> costs = changedCosts();
    Set<String> interest = ledger.active();
    if (fullDue || !costs.isEmpty() || !interest.equals(reportedInterest)) {
      CostReport report = new CostReport(costs, List.copyOf(interest));
      effects.add(new Send(holder.get().instance(), report));
      reportedNanos = nowNanos;
      reportedInterest = Set.copyOf(interest);
      fullDue = false;
    }
  }

  /** Takes in what a router tells, if it is the holder. */
  public void sumsArrived(PeerIdentity sender, FleetCosts sums) {
    if (!holder.equals(Optional.of(sender))) {
      return;
    }
    if (sums.holderIncarnation() != sumsIncarnation) {
      lastSums.clear();
      sumsIncarnation = sums.holderIncarnation();
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

  private List<WorkspaceCost> changedCosts() {
    Set<String> charged = ledger.takeCharged();
    Set<String> candidates = fullDue ? everyWorkspace() : charged;
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

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Cost totals of one service by workspace. Reported values are added as increments: the first
 * message of a sender's incarnation is a baseline, and a workspace missing from it had no cost
 * until then. A sender that reconnects is counted with everything that was added in the meantime. A
 * disconnected aggregator of another data centre is removed as soon as another one reports that
 * data centre's totals, because those include the same costs.
 */
public final class ServiceCostTotals {

  private record Receiver(PeerIdentity peer, ReportedCosts reported) {}

  private final String name;
  private final Map<String, Double> fleetTotals = new HashMap<>();
  private final Map<String, Double> dataCentreTotals = new TreeMap<>();
  private final Map<PeerIdentity, CostContribution> contributions = new HashMap<>();
  private final Map<PeerIdentity, Set<String>> interestBySidecar = new HashMap<>();
  private final Map<PeerIdentity, ReportedCosts> reportedToSidecars = new HashMap<>();
  private final Map<String, Receiver> reportedToDataCentres = new HashMap<>();

  /** Creates totals of zero. */
  public ServiceCostTotals(String name) {
    this.name = name;
  }

  /** Returns the name of the service. */
  public String name() {
    return name;
  }

  /** Adds a sidecar's full report; returns the totals it asks for and was never sent. */
  public List<WorkspaceCost> onReport(PeerIdentity sidecar, CostReport report) {
    addCosts(sidecar, report.costs());
    interestBySidecar.put(sidecar, new HashSet<>(report.interested()));
    return takeNeverReported(sidecar, report.interested());
  }

  /**
   * Adds the changes of a sidecar; returns the totals it asks for and was never sent. Changes are
   * ignored until a full report, on which they build, has been received.
   */
  public List<WorkspaceCost> onChanges(PeerIdentity sidecar, CostChanges changes) {
    Set<String> interested = interestBySidecar.get(sidecar);
    if (interested == null) {
      return List.of();
    }
    addCosts(sidecar, changes.costs());
    interested.addAll(changes.added());
    interested.removeAll(Set.copyOf(changes.removed()));
    return takeNeverReported(sidecar, changes.added());
  }

  private void addCosts(PeerIdentity sidecar, List<WorkspaceCost> costs) {
    contribution(sidecar)
        .update(
            costs,
            (workspace, increment) -> {
              fleetTotals.merge(workspace, increment, Double::sum);
              dataCentreTotals.merge(workspace, increment, Double::sum);
            });
  }

  /** Adds the totals that another data centre's aggregator reports. */
  public void onDataCentreCosts(PeerIdentity aggregator, List<WorkspaceCost> costs) {
    contributions
        .values()
        .removeIf(
            other ->
                !other.linked
                    && !other.sender.equals(aggregator)
                    && other.sender.role() == aggregator.role()
                    && other.sender.dataCentre().equals(aggregator.dataCentre()));
    contribution(aggregator)
        .update(
            costs, (workspace, increment) -> fleetTotals.merge(workspace, increment, Double::sum));
  }

  private List<WorkspaceCost> takeNeverReported(PeerIdentity sidecar, List<String> requested) {
    ReportedCosts reported =
        reportedToSidecars.computeIfAbsent(sidecar, peer -> new ReportedCosts());
    List<String> unsent =
        requested.stream().filter(workspace -> !reported.hasReported(workspace)).sorted().toList();
    return reported.takeChanges(unsent, workspace -> costElsewhere(sidecar, workspace));
  }

  /** Returns the totals that a sidecar asked for and that changed, and records them as reported. */
  public List<WorkspaceCost> takeUnreported(PeerIdentity sidecar) {
    Set<String> interested = interestBySidecar.getOrDefault(sidecar, Set.of());
    return interested.isEmpty()
        ? List.of()
        : reportedToSidecars
            .get(sidecar)
            .takeChanges(
                interested.stream().sorted().toList(),
                workspace -> costElsewhere(sidecar, workspace));
  }

  /**
   * Returns the own data centre's totals that changed since the last report to another data centre,
   * and records them as reported. A new receiver gets all of them.
   */
  public List<WorkspaceCost> takeUnreportedTo(String dataCentre, PeerIdentity router) {
    Receiver receiver = reportedToDataCentres.get(dataCentre);
    if (receiver == null || !receiver.peer().equals(router)) {
      receiver = new Receiver(router, new ReportedCosts());
      reportedToDataCentres.put(dataCentre, receiver);
    }
    return receiver.reported().takeChanges(dataCentreTotals.keySet(), dataCentreTotals::get);
  }

  /** Records that a peer is connected, so that its contribution is kept. */
  public void onPeerConnected(PeerIdentity peer) {
    CostContribution contribution = contributions.get(peer);
    if (contribution != null) {
      contribution.linked = true;
    }
  }

  /** Records that a peer is disconnected; it is sent all its totals again when it reconnects. */
  public void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    CostContribution contribution = contributions.get(peer);
    if (contribution != null) {
      contribution.linked = false;
      contribution.unlinkedNanos = nowNanos;
    }
    interestBySidecar.remove(peer);
    reportedToSidecars.remove(peer);
    reportedToDataCentres.values().removeIf(receiver -> receiver.peer().equals(peer));
  }

  /**
   * Removes the contributions of peers that were disconnected at or before a time and still are.
   */
  public void forgetUnlinkedUntil(long nanos) {
    contributions
        .values()
        .removeIf(contribution -> !contribution.linked && contribution.unlinkedNanos - nanos <= 0);
  }

  private double costElsewhere(PeerIdentity sidecar, String workspace) {
    double own = contributions.get(sidecar).counted.getOrDefault(workspace, 0.0);
    return fleetTotals.getOrDefault(workspace, 0.0) - own;
  }

  private CostContribution contribution(PeerIdentity sender) {
    return contributions.computeIfAbsent(sender, CostContribution::new);
  }
}

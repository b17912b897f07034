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
 * Sums of one service's costs. Values are counted as increments: the first message of a sender's
 * incarnation is a baseline, a workspace that it leaves out has cost nothing until then; a sender
 * known from before a cut counts with all that was added meanwhile. A sender of another data centre
 * that is cut off is forgotten as soon as another one tells that data centre's sums, because those
 * hold the same costs.
 */
public final class ServiceCostTotals {

  private record Receiver(PeerIdentity peer, ReportedCosts told) {}

  private final String name;
  private final Map<String, Double> everywhere = new HashMap<>();
  private final Map<String, Double> ownDataCentre = new TreeMap<>();
  private final Map<PeerIdentity, CostContribution> contributions = new HashMap<>();
  private final Map<PeerIdentity, Set<String>> interest = new HashMap<>();
  private final Map<PeerIdentity, ReportedCosts> toldSidecars = new HashMap<>();
  private final Map<String, Receiver> toldDataCentres = new HashMap<>();

  /** Creates sums without contributions. */
  public ServiceCostTotals(String name) {
    this.name = name;
  }

  /** Returns the name of the service. */
  public String name() {
    return name;
  }

  /** Takes in a sidecar's report; returns the sums it asks for and has never been told. */
  public List<WorkspaceCost> onReport(PeerIdentity sidecar, CostReport report) {
    take(sidecar, report.costs());
    interest.put(sidecar, new HashSet<>(report.interested()));
    return untoldNew(sidecar, report.interested());
  }

  /**
   * Takes in what changed at a sidecar; returns the sums it asks for and has never been told.
   * Changes without the report that they build on are ignored until one comes.
   */
  public List<WorkspaceCost> onChanges(PeerIdentity sidecar, CostChanges changes) {
    Set<String> interested = interest.get(sidecar);
    if (interested == null) {
      return List.of();
    }
    take(sidecar, changes.costs());
    interested.addAll(changes.added());
    interested.removeAll(Set.copyOf(changes.removed()));
    return untoldNew(sidecar, changes.added());
  }

  private void take(PeerIdentity sidecar, List<WorkspaceCost> costs) {
    contribution(sidecar)
        .update(
            costs,
            (workspace, increment) -> {
              everywhere.merge(workspace, increment, Double::sum);
              ownDataCentre.merge(workspace, increment, Double::sum);
            });
  }

  /** Takes in the sums of another data centre. */
  public void onDataCentreCosts(PeerIdentity holder, List<WorkspaceCost> costs) {
    contributions
        .values()
        .removeIf(
            other ->
                !other.linked
                    && !other.sender.equals(holder)
                    && other.sender.role() == holder.role()
                    && other.sender.dataCentre().equals(holder.dataCentre()));
    contribution(holder)
        .update(
            costs, (workspace, increment) -> everywhere.merge(workspace, increment, Double::sum));
  }

  private List<WorkspaceCost> untoldNew(PeerIdentity sidecar, List<String> asked) {
    ReportedCosts told = toldSidecars.computeIfAbsent(sidecar, peer -> new ReportedCosts());
    List<String> fresh =
        asked.stream().filter(workspace -> !told.hasReported(workspace)).sorted().toList();
    return told.takeChanges(fresh, workspace -> elsewhere(sidecar, workspace));
  }

  /** Returns the sums that a sidecar asked for and that changed, and notes them as told. */
  public List<WorkspaceCost> takeUnreported(PeerIdentity sidecar) {
    Set<String> interested = interest.getOrDefault(sidecar, Set.of());
    return interested.isEmpty()
        ? List.of()
        : toldSidecars
            .get(sidecar)
            .takeChanges(
                interested.stream().sorted().toList(), workspace -> elsewhere(sidecar, workspace));
  }

  /**
   * Returns the own data centre's sums that changed since another data centre was told, and notes
   * them as told. A receiver that is new gets all of them.
   */
  public List<WorkspaceCost> takeUnreportedTo(String dataCentre, PeerIdentity router) {
    Receiver receiver = toldDataCentres.get(dataCentre);
    if (receiver == null || !receiver.peer().equals(router)) {
      receiver = new Receiver(router, new ReportedCosts());
      toldDataCentres.put(dataCentre, receiver);
    }
    return receiver.told().takeChanges(ownDataCentre.keySet(), ownDataCentre::get);
  }

  /** Notes a link. */
  public void onPeerConnected(PeerIdentity peer) {
    CostContribution contribution = contributions.get(peer);
    if (contribution != null) {
      contribution.linked = true;
    }
  }

  /** Notes that a link is gone: its sums are told in full when it comes back. */
  public void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    CostContribution contribution = contributions.get(peer);
    if (contribution != null) {
      contribution.linked = false;
      contribution.unlinkedNanos = nowNanos;
    }
    interest.remove(peer);
    toldSidecars.remove(peer);
    toldDataCentres.values().removeIf(receiver -> receiver.peer().equals(peer));
  }

  /** Forgets the processes that were gone at or before a time and have not come back. */
  public void forgetUnlinkedUntil(long nanos) {
    contributions
        .values()
        .removeIf(contribution -> !contribution.linked && contribution.unlinkedNanos - nanos <= 0);
  }

  private double elsewhere(PeerIdentity sidecar, String workspace) {
    double own = contributions.get(sidecar).counted.getOrDefault(workspace, 0.0);
    return everywhere.getOrDefault(workspace, 0.0) - own;
  }

  private CostContribution contribution(PeerIdentity sender) {
    return contributions.computeIfAbsent(sender, CostContribution::new);
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.DataCentreCosts;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.internal.RendezvousHash;
import dev.agatepier.core.process.internal.ServiceCostTotals;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Sums the cost of each workspace over the sidecars of its data centre and over the other data
 * centres' holders, and tells each sidecar what its workspaces received elsewhere. All of it is
 * soft state, refilled by the next reports.
 */
public final class CostAggregatorDecision
    implements Decision<CostAggregatorEvent, CostAggregatorEffect> {
  private final PeerIdentity self;
  private final CostAggregatorPolicy policy;
  private final List<CostAggregatorEffect> effects = new ArrayList<>();
  private final Map<String, PeerIdentity> linked = new LinkedHashMap<>();
  private final Map<String, ServiceCostTotals> sums = new TreeMap<>();
  private long toldNanos;

  /**
   * Creates a holder without sums.
   *
   * @param self identity of the router it lives in
   * @param policy settings
   */
  public CostAggregatorDecision(PeerIdentity self, CostAggregatorPolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  @Override
  public List<CostAggregatorEffect> decide(CostAggregatorEvent event, long nowNanos) {
    switch (event) {
      case CostAggregatorEvent.PeerConnected(PeerIdentity peer) -> peerLinked(peer, nowNanos);
      case CostAggregatorEvent.PeerDisconnected(PeerIdentity peer) -> peerUnlinked(peer, nowNanos);
      case CostAggregatorEvent.MessageArrived(PeerIdentity peer, LinkMessage message) ->
          messageArrived(peer, message, nowNanos);
      case CostAggregatorEvent.TimePassed() -> timePassed(nowNanos);
    }
    List<CostAggregatorEffect> decided = List.copyOf(effects);
    effects.clear();
    return decided;
  }

  private void peerLinked(PeerIdentity peer, long nowNanos) {
    PeerIdentity before = linked.put(peer.instance(), peer);
    if (before != null && !before.equals(peer)) {
      sums.values().forEach(service -> service.onPeerDisconnected(before, nowNanos));
    }
    sums.values().forEach(service -> service.onPeerConnected(peer));
  }

  private void peerUnlinked(PeerIdentity peer, long nowNanos) {
    if (linked.remove(peer.instance(), peer)) {
      sums.values().forEach(service -> service.onPeerDisconnected(peer, nowNanos));
    }
  }

  private void messageArrived(PeerIdentity peer, LinkMessage message, long nowNanos) {
    if (!peer.equals(linked.get(peer.instance()))) {
      return;
    }
    switch (message) {
      case CostReport report -> reportArrived(peer, report, nowNanos);
      case CostChanges changes -> changesArrived(peer, changes, nowNanos);
      case DataCentreCosts costs -> sumsOf(costs.service()).onDataCentreCosts(peer, costs.costs());
      default -> {
        // Other messages are handled by the router's decision.
      }
    }
  }

  private void reportArrived(PeerIdentity sidecar, CostReport report, long nowNanos) {
    ServiceCostTotals service = sumsOf(sidecar.service());
    tellSidecar(sidecar, service.onReport(sidecar, report));
    tellIfDue(nowNanos);
  }

  private void changesArrived(PeerIdentity sidecar, CostChanges changes, long nowNanos) {
    ServiceCostTotals service = sumsOf(sidecar.service());
    tellSidecar(sidecar, service.onChanges(sidecar, changes));
    tellIfDue(nowNanos);
  }

  private void tellIfDue(long nowNanos) {
    if (nowNanos - toldNanos >= TimeUnit.MILLISECONDS.toNanos(policy.sendIntervalMillis())) {
      tellAll(nowNanos);
    }
  }

  private void timePassed(long nowNanos) {
    tellIfDue(nowNanos);
    long forgetNanos = TimeUnit.MILLISECONDS.toNanos(policy.retentionMillis());
    sums.values().forEach(service -> service.forgetUnlinkedUntil(nowNanos - forgetNanos));
  }

  private void tellAll(long nowNanos) {
    toldNanos = nowNanos;
    Map<String, List<String>> routers = routersByOtherDataCentre();
    sums.forEach(
        (name, service) -> {
          for (PeerIdentity peer : linked.values()) {
            if (peer.role() == Role.SIDECAR && peer.service().equals(name)) {
              tellSidecar(peer, service.takeUnreported(peer));
            }
          }
          routers.forEach((dataCentre, names) -> tellDataCentre(service, dataCentre, names));
        });
  }

  private void tellSidecar(PeerIdentity sidecar, List<WorkspaceCost> costs) {
    if (!costs.isEmpty()) {
      FleetCosts message = new FleetCosts(self.incarnation(), costs);
      effects.add(new CostAggregatorEffect.Send(sidecar.instance(), message));
    }
  }

  private void tellDataCentre(ServiceCostTotals service, String dataCentre, List<String> names) {
    String chosen = RendezvousHash.choose(service.name(), names).orElseThrow();
    List<WorkspaceCost> costs = service.takeUnreportedTo(dataCentre, linked.get(chosen));
    if (!costs.isEmpty()) {
      DataCentreCosts message = new DataCentreCosts(service.name(), costs);
      effects.add(new CostAggregatorEffect.Send(chosen, message));
    }
  }

  private Map<String, List<String>> routersByOtherDataCentre() {
    Map<String, List<String>> routers = new TreeMap<>();
    for (PeerIdentity peer : linked.values()) {
      if (peer.role() == Role.ROUTER && !peer.dataCentre().equals(self.dataCentre())) {
        routers.computeIfAbsent(peer.dataCentre(), name -> new ArrayList<>()).add(peer.instance());
      }
    }
    return routers;
  }

  private ServiceCostTotals sumsOf(String service) {
    return sums.computeIfAbsent(service, ServiceCostTotals::new);
  }
}

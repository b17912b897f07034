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
 * The cost aggregator of a router. It sums the cost of each workspace over the sidecars of its data
 * centre and over the cost aggregators of other data centres, and sends each sidecar the cost that
 * its workspaces incurred elsewhere. It holds only soft state, which the next reports restore.
 */
public final class CostAggregatorDecision
    implements Decision<CostAggregatorEvent, CostAggregatorEffect> {
  private final PeerIdentity self;
  private final CostAggregatorPolicy policy;
  private final List<CostAggregatorEffect> effects = new ArrayList<>();
  private final Map<String, PeerIdentity> connectedPeers = new LinkedHashMap<>();
  private final Map<String, ServiceCostTotals> totals = new TreeMap<>();
  private long lastSentNanos;

  /**
   * Creates a cost aggregator without any costs.
   *
   * @param self identity of the router that it is part of
   * @param policy settings
   */
  public CostAggregatorDecision(PeerIdentity self, CostAggregatorPolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  @Override
  public List<CostAggregatorEffect> decide(CostAggregatorEvent event, long nowNanos) {
    switch (event) {
      case CostAggregatorEvent.PeerConnected(PeerIdentity peer) -> onPeerConnected(peer, nowNanos);
      case CostAggregatorEvent.PeerDisconnected(PeerIdentity peer) ->
          onPeerDisconnected(peer, nowNanos);
      case CostAggregatorEvent.MessageReceived(PeerIdentity peer, LinkMessage message) ->
          onMessage(peer, message, nowNanos);
      case CostAggregatorEvent.Tick() -> onTimePassed(nowNanos);
    }
    List<CostAggregatorEffect> result = List.copyOf(effects);
    effects.clear();
    return result;
  }

  private void onPeerConnected(PeerIdentity peer, long nowNanos) {
    PeerIdentity previous = connectedPeers.put(peer.instance(), peer);
    if (previous != null && !previous.equals(peer)) {
      totals.values().forEach(service -> service.onPeerDisconnected(previous, nowNanos));
    }
    totals.values().forEach(service -> service.onPeerConnected(peer));
  }

  private void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    if (connectedPeers.remove(peer.instance(), peer)) {
      totals.values().forEach(service -> service.onPeerDisconnected(peer, nowNanos));
    }
  }

  private void onMessage(PeerIdentity peer, LinkMessage message, long nowNanos) {
    if (!peer.equals(connectedPeers.get(peer.instance()))) {
      return;
    }
    switch (message) {
      case CostReport report -> onCostReport(peer, report, nowNanos);
      case CostChanges changes -> onCostChanges(peer, changes, nowNanos);
      case DataCentreCosts costs ->
          totalsOf(costs.service()).onDataCentreCosts(peer, costs.costs());
      default -> {
        // RouterDecision handles the other messages.
      }
    }
  }

  private void onCostReport(PeerIdentity sidecar, CostReport report, long nowNanos) {
    ServiceCostTotals service = totalsOf(sidecar.service());
    sendToSidecar(sidecar, service.onReport(sidecar, report));
    sendIfDue(nowNanos);
  }

  private void onCostChanges(PeerIdentity sidecar, CostChanges changes, long nowNanos) {
    ServiceCostTotals service = totalsOf(sidecar.service());
    sendToSidecar(sidecar, service.onChanges(sidecar, changes));
    sendIfDue(nowNanos);
  }

  private void sendIfDue(long nowNanos) {
    if (nowNanos - lastSentNanos >= TimeUnit.MILLISECONDS.toNanos(policy.sendIntervalMillis())) {
      sendAll(nowNanos);
    }
  }

  private void onTimePassed(long nowNanos) {
    sendIfDue(nowNanos);
    long retentionNanos = TimeUnit.MILLISECONDS.toNanos(policy.retentionMillis());
    totals.values().forEach(service -> service.forgetUnlinkedUntil(nowNanos - retentionNanos));
  }

  private void sendAll(long nowNanos) {
    lastSentNanos = nowNanos;
    Map<String, List<String>> routers = routersByOtherDataCentre();
    totals.forEach(
        (name, service) -> {
          for (PeerIdentity peer : connectedPeers.values()) {
            if (peer.role() == Role.SIDECAR && peer.service().equals(name)) {
              sendToSidecar(peer, service.takeUnreported(peer));
            }
          }
          routers.forEach((dataCentre, names) -> sendToDataCentre(service, dataCentre, names));
        });
  }

  private void sendToSidecar(PeerIdentity sidecar, List<WorkspaceCost> costs) {
    if (!costs.isEmpty()) {
      FleetCosts message = new FleetCosts(self.incarnation(), costs);
      effects.add(new CostAggregatorEffect.Send(sidecar.instance(), message));
    }
  }

  private void sendToDataCentre(ServiceCostTotals service, String dataCentre, List<String> names) {
    String receiver = RendezvousHash.choose(service.name(), names).orElseThrow();
    List<WorkspaceCost> costs = service.takeUnreportedTo(dataCentre, connectedPeers.get(receiver));
    if (!costs.isEmpty()) {
      DataCentreCosts message = new DataCentreCosts(service.name(), costs);
      effects.add(new CostAggregatorEffect.Send(receiver, message));
    }
  }

  private Map<String, List<String>> routersByOtherDataCentre() {
    Map<String, List<String>> routers = new TreeMap<>();
    for (PeerIdentity peer : connectedPeers.values()) {
      if (peer.role() == Role.ROUTER && !peer.dataCentre().equals(self.dataCentre())) {
        routers.computeIfAbsent(peer.dataCentre(), name -> new ArrayList<>()).add(peer.instance());
      }
    }
    return routers;
  }

  private ServiceCostTotals totalsOf(String service) {
    return totals.computeIfAbsent(service, ServiceCostTotals::new);
  }
}

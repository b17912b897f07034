package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The sidecars that are connected to this router, and the subset that its demand is sent to. */
final class ConnectedSidecars {

  private final PeerIdentity self;
  private final int maximumPerService;
  private final Map<String, ConnectedSidecar> byName = new TreeMap<>();
  private final Map<String, Map<String, ConnectedSidecar>> byService = new HashMap<>();
  private final Map<String, List<ConnectedSidecar>> targets = new HashMap<>();
  private Set<String> leaving = Set.of();

  ConnectedSidecars(PeerIdentity self, int maximumPerService) {
    this.self = self;
    this.maximumPerService = maximumPerService;
  }

  ConnectedSidecar named(String name) {
    return byName.get(name);
  }

  /** Returns the sidecar if its link is to the given incarnation, otherwise null. */
  ConnectedSidecar incarnation(String name, long incarnation) {
    ConnectedSidecar sidecar = byName.get(name);
    return sidecar != null && sidecar.peer.incarnation() == incarnation ? sidecar : null;
  }

  ConnectedSidecar of(PeerIdentity peer) {
    return incarnation(peer.instance(), peer.incarnation());
  }

  Collection<ConnectedSidecar> all() {
    return byName.values();
  }

  void add(PeerIdentity peer) {
    ConnectedSidecar sidecar = new ConnectedSidecar(peer);
    sidecar.leaving = leaving.contains(peer.instance());
    byName.put(peer.instance(), sidecar);
    byService.computeIfAbsent(peer.service(), name -> new TreeMap<>()).put(sidecar.name(), sidecar);
    targets.clear();
  }

  void remove(ConnectedSidecar sidecar) {
    byName.remove(sidecar.name());
    Map<String, ConnectedSidecar> sidecars = byService.get(sidecar.peer.service());
    sidecars.remove(sidecar.name());
    if (sidecars.isEmpty()) {
      byService.remove(sidecar.peer.service());
    }
    targets.clear();
  }

  /** Updates which sidecars are leaving; returns those whose state changed. */
  List<ConnectedSidecar> updateLeaving(InstanceList list) {
    leaving =
        list.instances().stream()
            .filter(Instance::leaving)
            .map(Instance::name)
            .collect(Collectors.toSet());
    List<ConnectedSidecar> changed =
        byName.values().stream()
            .filter(sidecar -> sidecar.leaving != leaving.contains(sidecar.name()))
            .toList();
    changed.forEach(sidecar -> sidecar.leaving = !sidecar.leaving);
    targets.clear();
    return changed;
  }

  /** Sets whether a sidecar is draining; returns whether that changed. */
  boolean setDraining(ConnectedSidecar sidecar, boolean draining) {
    boolean changed = sidecar.draining != draining;
    sidecar.draining = draining;
    if (changed) {
      targets.clear();
    }
    return changed;
  }

  boolean sameRegion(ConnectedSidecar sidecar) {
    return sidecar.peer.region().equals(self.region());
  }

  /** Returns the sidecars that a service's demand is sent to, those of the own region first. */
  List<ConnectedSidecar> demandTargets(String service) {
    return targets.computeIfAbsent(service, this::selectTargets);
  }

  /** Returns the sidecar to be the home of a new ticket, if any has sent a heartbeat. */
  Optional<ConnectedSidecar> ticketHome(String service, RequestId request) {
    return ranked(service, request.toString(), sidecar -> sidecar.clockMillis.isPresent())
        .findFirst();
  }

  private List<ConnectedSidecar> selectTargets(String service) {
    List<ConnectedSidecar> result =
        new ArrayList<>(
            ranked(service, self.instance(), this::sameRegion).limit(maximumPerService).toList());
    ranked(service, self.instance(), sidecar -> !sameRegion(sidecar))
        .limit(maximumPerService)
        .forEach(result::add);
    return List.copyOf(result);
  }

  private Stream<ConnectedSidecar> ranked(
      String service, String key, Predicate<ConnectedSidecar> filter) {
    List<ConnectedSidecar> candidates =
        byService.getOrDefault(service, Map.of()).values().stream()
            .filter(ConnectedSidecar::acceptsWork)
            .filter(filter)
            .toList();
    return RendezvousHash.sorted(key, candidates, this::distance, ConnectedSidecar::name).stream();
  }

  private int distance(ConnectedSidecar sidecar) {
    if (sidecar.peer.dataCentre().equals(self.dataCentre())) {
      return 0;
    }
    return sameRegion(sidecar) ? 1 : 2;
  }
}

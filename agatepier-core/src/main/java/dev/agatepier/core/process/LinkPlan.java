package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.internal.RendezvousHash;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses whom a process dials. Sidecars dial nobody. A router dials every router of a greater name
 * and, for each service, all sidecars while they are few; else those that rank first for it, its
 * own data centre before its region, and a quarter as many of other regions.
 *
 * @param self the process
 * @param sidecarsPerService sidecars of one service that count as few
 */
public record LinkPlan(PeerIdentity self, int sidecarsPerService) {

  /** Share of the sidecars dialed that are added from other regions. */
  private static final int OTHER_REGIONS_DIVISOR = 4;

  /** Returns the instances to keep a link to. */
  public List<Instance> selectTargets(InstanceList list) {
    List<Instance> wanted = new ArrayList<>();
    if (self.role() == Role.SIDECAR) {
      return wanted;
    }
    Map<String, List<Instance>> sidecars = new TreeMap<>();
    for (Instance instance : list.instances()) {
      if (instance.role() == Role.SIDECAR) {
        sidecars.computeIfAbsent(instance.service(), name -> new ArrayList<>()).add(instance);
      } else if (instance.name().compareTo(self.instance()) > 0) {
        wanted.add(instance);
      }
    }
    sidecars.values().forEach(service -> wanted.addAll(chosen(service)));
    return wanted;
  }

  private List<Instance> chosen(List<Instance> service) {
    if (service.size() <= sidecarsPerService) {
      return service;
    }
    List<Instance> ranked =
        RendezvousHash.sorted(self.instance(), service, this::distance, Instance::name);
    List<Instance> chosen = new ArrayList<>(ranked.subList(0, sidecarsPerService));
    ranked.subList(sidecarsPerService, ranked.size()).stream()
        .filter(instance -> !instance.region().equals(self.region()))
        .limit(sidecarsPerService / OTHER_REGIONS_DIVISOR)
        .forEach(chosen::add);
    return chosen;
  }

  private int distance(Instance instance) {
    if (instance.dataCentre().equals(self.dataCentre())) {
      return 0;
    }
    return instance.region().equals(self.region()) ? 1 : 2;
  }
}

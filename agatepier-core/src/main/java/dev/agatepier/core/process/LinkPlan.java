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
 * Selects the instances to which a process opens links. A sidecar opens none. A router connects to
 * every router with a greater name and, for each service, to all sidecars if there are at most
 * {@code sidecarsPerService}. If there are more, it connects to that many sidecars by rendezvous
 * hashing, those of its own data centre before those of its region, and to a quarter as many
 * further ones in other regions.
 *
 * @param self identity of the process
 * @param sidecarsPerService maximum number of sidecars of one service to connect to, without the
 *     additional ones in other regions
 */
public record LinkPlan(PeerIdentity self, int sidecarsPerService) {

  /** {@code sidecarsPerService} is divided by this for the additional sidecars in other regions. */
  private static final int OTHER_REGIONS_DIVISOR = 4;

  /** Returns the instances of a list to which the process keeps a link. */
  public List<Instance> selectTargets(InstanceList list) {
    List<Instance> targets = new ArrayList<>();
    if (self.role() == Role.SIDECAR) {
      return targets;
    }
    Map<String, List<Instance>> sidecars = new TreeMap<>();
    for (Instance instance : list.instances()) {
      if (instance.role() == Role.SIDECAR) {
        sidecars.computeIfAbsent(instance.service(), name -> new ArrayList<>()).add(instance);
      } else if (instance.name().compareTo(self.instance()) > 0) {
        targets.add(instance);
      }
    }
    sidecars.values().forEach(service -> targets.addAll(selectSidecars(service)));
    return targets;
  }

  private List<Instance> selectSidecars(List<Instance> candidates) {
    if (candidates.size() <= sidecarsPerService) {
      return candidates;
    }
    List<Instance> ranked =
        RendezvousHash.sorted(self.instance(), candidates, this::distance, Instance::name);
    List<Instance> selected = new ArrayList<>(ranked.subList(0, sidecarsPerService));
    ranked.subList(sidecarsPerService, ranked.size()).stream()
        .filter(instance -> !instance.region().equals(self.region()))
        .limit(sidecarsPerService / OTHER_REGIONS_DIVISOR)
        .forEach(selected::add);
    return selected;
  }

  private int distance(Instance instance) {
    if (instance.dataCentre().equals(self.dataCentre())) {
      return 0;
    }
    return instance.region().equals(self.region()) ? 1 : 2;
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import java.util.Collection;
import java.util.Map;
import java.util.Set;

/** The other data centres in which requests for a service can get slots. */
final class OtherDataCentres {

  private final AllocatorRegions regions;
  private Map<String, Set<String>> served = Map.of();

  OtherDataCentres(AllocatorRegions regions) {
    this.regions = regions;
  }

  /** Replaces the data centres whose upstreams are served, by the data centre of the allocator. */
  void replace(Map<String, Set<String>> newer) {
    served = Map.copyOf(newer);
  }

  /** Returns the data centres whose allocators serve an upstream in a permitted region. */
  Collection<String> permitted(AllowedRegions allowed) {
    return allowed.all()
        ? served.keySet()
        : served.entrySet().stream()
            .filter(
                entry -> entry.getValue().stream().anyMatch(name -> regions.permits(allowed, name)))
            .map(Map.Entry::getKey)
            .toList();
  }
}

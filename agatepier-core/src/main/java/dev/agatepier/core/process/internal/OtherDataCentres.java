package dev.agatepier.core.process.internal;

import java.util.Collection;
import java.util.Map;
import java.util.Set;

/** The other data centres in which requests for a service can get slots. */
final class OtherDataCentres {

  private final AllocatorRegions regions;
  private Map<String, Set<UpstreamPlace>> served = Map.of();

  OtherDataCentres(AllocatorRegions regions) {
    this.regions = regions;
  }

  /** Replaces the places whose upstreams are served, by the data centre of the allocator. */
  void replace(Map<String, Set<UpstreamPlace>> newer) {
    served = Map.copyOf(newer);
  }

  /** Returns the data centres whose allocators serve a permitted upstream. */
  Collection<String> permitted(UpstreamRequirements requirements) {
    return requirements.none()
        ? served.keySet()
        : served.entrySet().stream()
            .filter(
                entry ->
                    entry.getValue().stream()
                        .anyMatch(place -> regions.permits(requirements, place)))
            .map(Map.Entry::getKey)
            .toList();
  }
}

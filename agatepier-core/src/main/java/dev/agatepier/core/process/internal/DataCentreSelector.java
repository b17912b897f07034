package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Selects the data centre from whose slot allocator a request gets its slot: the one with the
 * smallest expected delay. The delay includes the round trip and the prefill of prompt parts that
 * the request shares with others: each long shared prefix has one home among all upstreams, where
 * it is expected to be cached.
 */
final class DataCentreSelector {

  /**
   * How long a load report of a slot allocator is valid; allocators report more often than this.
   */
  private static final long LOAD_VALIDITY_NANOS = 3_000_000_000L;

  /** Expected prefill time of one prompt token, in milliseconds, including queueing. */
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;

  /**
   * Weight of repeating the prefill of shared tokens: it delays all requests queued behind it,
   * takes engine memory from other requests and costs the operator. A request whose home is full
   * therefore gains little from another data centre, unless that one is idle.
   */
  private static final double SHARED_PREFILL_WEIGHT = 4;

  /** Number of shared tokens below which a prefix has no home in the fleet. */
  private static final int MINIMUM_SHARED_TOKENS = 1_000;

  /** Expected round-trip time to another data centre of the same region, in milliseconds. */
  private static final double SAME_REGION_MILLIS = 5;

  private final PeerIdentity self;
  private final long regionMillis;
  private final DataCentreRegions dataCentres;
  private final Map<String, ReceivedLoad> loads = new HashMap<>();
  private final Map<String, List<Upstream>> upstreams = new HashMap<>();
  private boolean upstreamsKnown;

  /** The last queueing delay that a slot allocator reported, and when it was received. */
  private record ReceivedLoad(long delayMillis, long receivedNanos) {}

  /**
   * Creates a selector without load reports and upstreams.
   *
   * @param regionMillis expected round-trip time to another region, in milliseconds
   * @param dataCentres the regions of the data centres
   */
  DataCentreSelector(PeerIdentity self, long regionMillis, DataCentreRegions dataCentres) {
    this.self = self;
    this.dataCentres = dataCentres;
    this.regionMillis = regionMillis;
  }

  /** Records a load report of a slot allocator. */
  void recordLoad(AllocatorLoad load, long nowNanos) {
    loads.put(
        key(load.service(), load.dataCentre()), new ReceivedLoad(load.delayMillis(), nowNanos));
  }

  /** Replaces the upstreams that may be homes of prefixes; those that are leaving may not. */
  void setUpstreams(Collection<Upstream> updated) {
    upstreamsKnown = true;
    upstreams.clear();
    for (Upstream upstream : updated) {
      if (!upstream.leaving()) {
        upstreams.computeIfAbsent(upstream.service(), name -> new ArrayList<>()).add(upstream);
      }
    }
  }

  /**
   * Returns the data centre in which a request gets its slot; its own if there are no routers.
   * Empty if the request may not be processed in every region and no data centre with an upstream
   * of its service is permitted. Before the first instance list it waits in any data centre, as
   * every grant is checked.
   *
   * @param routers routers that are connected and not leaving
   */
  String choose(RoutedRequest request, Collection<PeerIdentity> routers, long nowNanos) {
    String service = request.queue.service;
    AllowedRegions allowed = request.allowedRegions;
    Optional<String> home = homeDataCentre(service, request.call.prompt(), allowed, routers);
    Map<String, String> regions = new TreeMap<>();
    routers.forEach(router -> regions.put(router.dataCentre(), router.region()));
    boolean bound = upstreamsKnown && !allowed.all();
    if (bound) {
      regions.keySet().retainAll(permittedDataCentres(service, allowed, routers));
    }
    String best = bound ? "" : self.dataCentre();
    double bestMillis = Double.MAX_VALUE;
    for (Map.Entry<String, String> candidate : regions.entrySet()) {
      String dataCentre = candidate.getKey();
      double millis =
          delayMillis(service, dataCentre, nowNanos)
              + roundTripMillis(dataCentre, candidate.getValue())
              + (home.isEmpty() || home.get().equals(dataCentre)
                  ? 0
                  : sharedPrefillMillis(request));
      if (millis < bestMillis) {
        best = dataCentre;
        bestMillis = millis;
      }
    }
    return best;
  }

  /**
   * Returns whether the slot allocator of a data centre allocates an upstream on which a request
   * may run; true for every data centre if all regions are permitted or no upstream is known yet.
   *
   * @param routers routers that are connected and not leaving
   */
  boolean serves(String dataCentre, RoutedRequest request, Collection<PeerIdentity> routers) {
    AllowedRegions allowed = request.allowedRegions;
    return allowed.all()
        || !upstreamsKnown
        || permittedDataCentres(request.queue.service, allowed, routers).contains(dataCentre);
  }

  /** Returns the data centres whose allocators serve a permitted upstream of a service. */
  private Set<String> permittedDataCentres(
      String service, AllowedRegions allowed, Collection<PeerIdentity> routers) {
    return permittedUpstreams(service, allowed).stream()
        .map(Upstream::dataCentre)
        .distinct()
        .map(dataCentre -> AllocatorSelection.responsibleDataCentre(dataCentre, routers))
        .collect(Collectors.toSet());
  }

  private List<Upstream> permittedUpstreams(String service, AllowedRegions allowed) {
    List<Upstream> listed = upstreams.getOrDefault(service, List.of());
    return allowed.all()
        ? listed
        : listed.stream()
            .filter(upstream -> dataCentres.permits(allowed, upstream.dataCentre()))
            .toList();
  }

  /** Returns the expected round-trip time to a data centre, in milliseconds. */
  double roundTripMillis(String dataCentre, String region) {
    if (dataCentre.equals(self.dataCentre())) {
      return 0;
    }
    return region.equals(self.region()) ? SAME_REGION_MILLIS : regionMillis;
  }

  private double delayMillis(String service, String dataCentre, long nowNanos) {
    ReceivedLoad load = loads.get(key(service, dataCentre));
    return load == null || nowNanos - load.receivedNanos() > LOAD_VALIDITY_NANOS
        ? 0
        : load.delayMillis();
  }

  /** Returns the data centre that manages the home upstream of a prompt's shared prefix, if any. */
  private Optional<String> homeDataCentre(
      String service,
      Optional<PromptMetadata> prompt,
      AllowedRegions allowed,
      Collection<PeerIdentity> routers) {
    if (prompt.isEmpty() || sharedTokens(prompt.get()) < MINIMUM_SHARED_TOKENS) {
      return Optional.empty();
    }
    List<PromptPart> parts = prompt.get().parts();
    String prefix = parts.get(parts.size() - 2).identity();
    List<Upstream> candidates = permittedUpstreams(service, allowed);
    return RendezvousHash.sorted(prefix, candidates, upstream -> 0, Upstream::name).stream()
        .findFirst()
        .map(upstream -> AllocatorSelection.responsibleDataCentre(upstream.dataCentre(), routers));
  }

  private static double sharedPrefillMillis(RoutedRequest request) {
    int shared = request.call.prompt().map(DataCentreSelector::sharedTokens).orElse(0);
    return SHARED_PREFILL_WEIGHT * PREFILL_MILLIS_PER_TOKEN * shared;
  }

  /** Returns the tokens of all parts but the last, which only this request has. */
  private static int sharedTokens(PromptMetadata prompt) {
    int shared = 0;
    for (int index = 0; index < prompt.parts().size() - 1; index++) {
      shared += prompt.parts().get(index).tokens();
    }
    return shared;
  }

  private static String key(String service, String dataCentre) {
    return service + '\n' + dataCentre;
  }
}

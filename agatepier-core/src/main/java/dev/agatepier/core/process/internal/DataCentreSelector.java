package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.InstanceList;
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
 * the request shares with others: each long shared prefix has homes among all upstreams, where it
 * is expected to be cached.
 */
final class DataCentreSelector {

  /**
   * How long a load report of a slot allocator is valid; allocators report more often than this.
   */
  private static final long LOAD_VALIDITY_NANOS = 3_000_000_000L;

  /**
   * Expected prefill time of one prompt token where none was measured, in milliseconds, including
   * queueing.
   */
  private static final double PREFILL_MILLIS_PER_TOKEN = 0.03;

  /**
   * Weight of the work that a router has moved to another data centre since its report: it is added
   * there and missing here, so both delays meet at half of the difference.
   */
  private static final double MOVED_WEIGHT = 2;

  /** Expected round-trip time to another data centre of the same region, in milliseconds. */
  private static final double SAME_REGION_MILLIS = 5;

  private final PeerIdentity self;
  private final long regionMillis;
  private final KnownUpstreams known;
  private final DataCentreRegions dataCentres;
  private final PrefixHomes homes;
  private final Map<String, ReceivedLoad> loads = new HashMap<>();
  private final Map<String, List<Upstream>> upstreams = new HashMap<>();

  /** The last report of a slot allocator and what was sent to it since. */
  private static final class ReceivedLoad {
    private final AllocatorLoad load;
    private final long receivedNanos;
    private double movedMillis;

    private ReceivedLoad(AllocatorLoad load, long nowNanos) {
      this.load = load;
      this.receivedNanos = nowNanos;
    }
  }

  /**
   * Creates a selector without load reports and upstreams.
   *
   * @param regionMillis expected round-trip time to another region, in milliseconds
   * @param known the upstreams that the router may call
   * @param dataCentres the regions of the data centres
   * @param homes determines the homes of shared prompt prefixes
   */
  DataCentreSelector(
      PeerIdentity self,
      long regionMillis,
      KnownUpstreams known,
      DataCentreRegions dataCentres,
      PrefixHomes homes) {
    this.homes = homes;
    this.known = known;
    this.self = self;
    this.dataCentres = dataCentres;
    this.regionMillis = regionMillis;
  }

  /** Records a load report of a slot allocator. */
  void recordLoad(AllocatorLoad load, long nowNanos) {
    loads.put(key(load.service(), load.dataCentre()), new ReceivedLoad(load, nowNanos));
    load.capacity()
        .ifPresent(
            capacity ->
                homes.recordCapacity(load.service(), load.dataCentre(), capacity, nowNanos));
  }

  /** Replaces the upstreams that may be homes of prefixes; those that serve no more may not. */
  void setUpstreams(InstanceList list, long nowNanos) {
    upstreams.clear();
    for (Upstream upstream : list.upstreams()) {
      if (UpstreamAvailability.ofEntry(upstream, list.isEvacuated(upstream))
          .state(nowNanos)
          .serving()) {
        upstreams.computeIfAbsent(upstream.service(), name -> new ArrayList<>()).add(upstream);
      }
    }
  }

  /**
   * Returns the data centres whose slot allocators allocate an upstream of a service that meets the
   * requirements and that neither an evacuation nor what it has said keeps away; all of them while
   * neither requirements nor evacuations nor notices restrict the service. Before the first
   * instance list, requests wait in any data centre, as every grant is checked.
   *
   * @param routers routers that are connected and not leaving
   */
  ServingDataCentres serving(
      String service,
      UpstreamRequirements requirements,
      Collection<PeerIdentity> routers,
      long nowNanos) {
    boolean bound = !requirements.none() && known.listed();
    if (!bound && !known.restricts(service, nowNanos)) {
      return ServingDataCentres.ALL;
    }
    return new ServingDataCentres(
        false,
        known
            .usablePlaces(service, nowNanos)
            .filter(
                place ->
                    requirements.permits(dataCentres, place.dataCentre(), place.softwareVersion()))
            .map(place -> AllocatorSelection.responsibleDataCentre(place.dataCentre(), routers))
            .collect(Collectors.toSet()));
  }

  /** Returns the same for a request. */
  ServingDataCentres serving(
      RoutedRequest request, Collection<PeerIdentity> routers, long nowNanos) {
    return serving(request.queue.service, request.requirements(), routers, nowNanos);
  }

  /**
   * Returns the data centre in which a request gets its slot; its own if nothing restricts them and
   * there are no routers, and empty if none serves it.
   *
   * @param routers routers that are connected and not leaving
   */
  String choose(RoutedRequest request, Collection<PeerIdentity> routers, long nowNanos) {
    String service = request.queue.service;
    Map<String, String> regions = new TreeMap<>();
    routers.forEach(router -> regions.put(router.dataCentre(), router.region()));
    ServingDataCentres serving = serving(request, routers, nowNanos);
    Map<String, Double> delays = new TreeMap<>();
    regions.forEach(
        (dataCentre, region) -> {
          if (serving.contains(dataCentre)) {
            delays.put(
                dataCentre,
                delayMillis(service, dataCentre, nowNanos) + roundTripMillis(dataCentre, region));
          }
        });
    Map<String, Double> prefills = sharedPrefillMillis(request, delays.keySet(), routers, nowNanos);
    String best = serving.all() ? self.dataCentre() : "";
    double bestMillis = Double.MAX_VALUE;
    for (Map.Entry<String, Double> candidate : delays.entrySet()) {
      double millis = candidate.getValue() + prefills.getOrDefault(candidate.getKey(), 0.0);
      if (millis < bestMillis) {
        best = candidate.getKey();
        bestMillis = millis;
      }
    }
    recordSent(request, best, routers, nowNanos);
    return best;
  }

  /**
   * Adds a request that moves to another data centre, whose capacity is measured, to the delay
   * there until the next report. The other routers of this data centre have the same reports, so
   * they are assumed to move as much. Nothing is added to the own data centre: the same reports
   * then never make both of two data centres move requests to the other.
   */
  void recordSent(
      RoutedRequest request, String dataCentre, Collection<PeerIdentity> routers, long nowNanos) {
    ReceivedLoad load = validLoad(request.queue.service, dataCentre, nowNanos);
    if (load == null || load.load.capacity().isEmpty() || dataCentre.equals(self.dataCentre())) {
      return;
    }
    long senders =
        routers.stream().filter(router -> router.dataCentre().equals(self.dataCentre())).count();
    int tokens = request.call.prompt().map(PromptMetadata::ownTokens).orElse(0);
    load.movedMillis +=
        MOVED_WEIGHT * Math.max(1, senders) * load.load.capacity().get().addedMillis(tokens);
  }

  private List<Upstream> permittedUpstreams(String service, UpstreamRequirements requirements) {
    List<Upstream> listed = upstreams.getOrDefault(service, List.of());
    return requirements.none()
        ? listed
        : listed.stream()
            .filter(
                upstream ->
                    requirements.permits(
                        dataCentres, upstream.dataCentre(), upstream.softwareVersion()))
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
    ReceivedLoad load = validLoad(service, dataCentre, nowNanos);
    return load == null ? 0 : load.load.delayMillis() + load.movedMillis;
  }

  /** Returns the last report of a slot allocator; null if there is none or it is too old. */
  private ReceivedLoad validLoad(String service, String dataCentre, long nowNanos) {
    ReceivedLoad load = loads.get(key(service, dataCentre));
    return load == null || nowNanos - load.receivedNanos > LOAD_VALIDITY_NANOS ? null : load;
  }

  /**
   * Returns the cost of prefilling the shared prefix of a request, by data centre; nothing where it
   * has homes, or everywhere if the prefix is short or has no homes.
   *
   * @param candidates data centres that serve the request
   */
  private Map<String, Double> sharedPrefillMillis(
      RoutedRequest request,
      Set<String> candidates,
      Collection<PeerIdentity> routers,
      long nowNanos) {
    String service = request.queue.service;
    Optional<SharedPrefix> prefix = SharedPrefix.of(request.call.prompt());
    if (prefix.isEmpty()) {
      return Map.of();
    }
    PrefixHomes.Homes found =
        homes.homes(
            service,
            prefix.get(),
            permittedUpstreams(service, request.requirements()),
            Math.max(1, routers.size()),
            nowNanos);
    Set<String> homeDataCentres =
        found.upstreams().stream()
            .map(
                upstream ->
                    AllocatorSelection.responsibleDataCentre(upstream.dataCentre(), routers))
            .collect(Collectors.toSet());
    if (homeDataCentres.isEmpty()) {
      return Map.of();
    }
    Map<String, Double> millis = new TreeMap<>();
    for (String dataCentre : candidates) {
      if (!homeDataCentres.contains(dataCentre)) {
        millis.put(
            dataCentre,
            found.awayWeight() * tokenMillis(service, dataCentre) * prefix.get().tokens());
      }
    }
    return millis;
  }

  /** Returns the expected time of a prompt token in a data centre, in milliseconds. */
  private double tokenMillis(String service, String dataCentre) {
    return Optional.ofNullable(loads.get(key(service, dataCentre)))
        .flatMap(received -> received.load.capacity())
        .map(MeasuredCapacity::tokenMillis)
        .orElse(PREFILL_MILLIS_PER_TOKEN);
  }

  private static String key(String service, String dataCentre) {
    return service + '\n' + dataCentre;
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Chooses the data centre in which a request asks for its slot: where it is expected to be served
 * soonest. The way there counts, and so does the reading of prompt parts that the request shares
 * with others: each long shared prefix has one home among all upstreams, where it is kept.
 */
final class DataCentreSelector {

  /** Time for which a keeper's word on its load counts; keepers repeat it more often. */
  private static final long LOAD_NANOS = 3_000_000_000L;

  /** Expected time to read one token of a prompt, in milliseconds, waiting for others included. */
  private static final double READING_MILLIS_PER_TOKEN = 0.03;

  /**
   * Weight of shared tokens that are read again: their reading delays everybody behind them, the
   * engine's memory for them is taken from others, and operators pay for them. A request whose home
   * is full gains little elsewhere unless there is nothing to do.
   */
  private static final double SHARED_WEIGHT = 4;

  /** Shared tokens below which a prefix has no home of its own in the fleet. */
  private static final int LEAST_SHARED_TOKENS = 1_000;

  /** Time that the way to another data centre of the region and back takes, in milliseconds. */
  private static final double NEAR_MILLIS = 5;

  private final PeerIdentity self;
  private final long regionMillis;
  private final Map<String, Heard> loads = new HashMap<>();
  private final Map<String, List<Upstream>> upstreams = new HashMap<>();

  /** What a keeper said of its load, and when. */
  private record Heard(long delayMillis, long heardNanos) {}

  /**
   * Creates the choice of a router that has heard of no load.
   *
   * @param regionMillis time that the way to another region and back takes, in milliseconds
   */
  DataCentreSelector(PeerIdentity self, long regionMillis) {
    this.self = self;
    this.regionMillis = regionMillis;
  }

  /** Takes a keeper's word on its load. */
  void recordLoad(AllocatorLoad load, long nowNanos) {
    loads.put(key(load.service(), load.dataCentre()), new Heard(load.delayMillis(), nowNanos));
  }

  /** Takes the upstreams that are listed. */
  void setUpstreams(Collection<Upstream> listed) {
    upstreams.clear();
    for (Upstream upstream : listed) {
      if (!upstream.leaving()) {
        upstreams.computeIfAbsent(upstream.service(), name -> new ArrayList<>()).add(upstream);
      }
    }
  }

  /**
   * Returns the data centre in which a request asks for its slot.
   *
   * @param routers routers that are reached and stay
   * @param excluded data centres that have refused the request
   */
  Optional<String> choose(
      RoutedRequest request,
      Collection<PeerIdentity> routers,
      Set<String> excluded,
      long nowNanos) {
    String service = request.queue.service;
    Optional<String> home = home(service, request.call.prompt(), routers);
    Map<String, String> regions = new TreeMap<>();
    routers.forEach(router -> regions.put(router.dataCentre(), router.region()));
    String best = null;
    double bestMillis = Double.MAX_VALUE;
    for (Map.Entry<String, String> candidate : regions.entrySet()) {
      String dataCentre = candidate.getKey();
      double millis =
          delayMillis(service, dataCentre, nowNanos)
              + roundTripMillis(dataCentre, candidate.getValue())
              + (home.isEmpty() || home.get().equals(dataCentre) ? 0 : sharedMillis(request));
      if (!excluded.contains(dataCentre) && millis < bestMillis) {
        best = dataCentre;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the time that the way to a data centre and back takes, in milliseconds. */
  double roundTripMillis(String dataCentre, String region) {
    if (dataCentre.equals(self.dataCentre())) {
      return 0;
    }
    return region.equals(self.region()) ? NEAR_MILLIS : regionMillis;
  }

  private double delayMillis(String service, String dataCentre, long nowNanos) {
    Heard heard = loads.get(key(service, dataCentre));
    return heard == null || nowNanos - heard.heardNanos() > LOAD_NANOS ? 0 : heard.delayMillis();
  }

  /** Returns the data centre that looks after the home of a prompt's shared prefix. */
  private Optional<String> home(
      String service, Optional<PromptMetadata> prompt, Collection<PeerIdentity> routers) {
    if (prompt.isEmpty() || sharedTokens(prompt.get()) < LEAST_SHARED_TOKENS) {
      return Optional.empty();
    }
    List<PromptPart> parts = prompt.get().parts();
    String prefix = parts.get(parts.size() - 2).identity();
    List<Upstream> candidates = upstreams.getOrDefault(service, List.of());
    return RendezvousHash.sorted(prefix, candidates, upstream -> 0, Upstream::name).stream()
        .findFirst()
        .map(upstream -> AllocatorSelection.responsibleDataCentre(upstream.dataCentre(), routers));
  }

  private static double sharedMillis(RoutedRequest request) {
    int shared = request.call.prompt().map(DataCentreSelector::sharedTokens).orElse(0);
    return SHARED_WEIGHT * READING_MILLIS_PER_TOKEN * shared;
  }

  /** Returns the tokens of all parts but the last, which is the request's own. */
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

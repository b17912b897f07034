package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.version.Upstream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * As many homes for each prefix as its load needs, among the upstreams weighted by the measured
 * speed of their data centres. All routers have the same upstreams and reports; where their counts
 * of requests differ, the homes by the lower count are among those by the higher one.
 */
final class PrefixHomesByLoad implements PrefixHomes {

  /**
   * Time for which a measured capacity is valid. Allocators report more often; without any, the
   * service has homes as without this class.
   */
  private static final long VALIDITY_NANOS = 3_000_000_000L;

  /**
   * Weight of prefilling a prefix away from its homes. It is higher than for a single home, which a
   * prefix with a high load has to leave: data centres that are idle for a moment would prefill
   * prefixes that they do not use again. docs/design/prefix-homes.md has the figures.
   */
  private static final double AWAY_WEIGHT = 15;

  private final KnownUpstreams known;
  private final Map<String, ServiceHomes> services = new HashMap<>();

  /** What is known of one service. */
  private static final class ServiceHomes {
    private final HomeCounts counts = new HomeCounts((prefix, homes, previous) -> {});
    private final SmoothedSpeeds speeds = new SmoothedSpeeds();
    private MeasuredCapacity capacity;
    private long receivedNanos;
  }

  /**
   * Creates homes without measured capacities.
   *
   * @param known the upstreams, with what they have said in their responses
   */
  PrefixHomesByLoad(KnownUpstreams known) {
    this.known = known;
  }

  @Override
  public void recordCapacity(
      String service, String dataCentre, MeasuredCapacity capacity, long nowNanos) {
    if (capacity.tokenMillis() > 0) {
      ServiceHomes homes = services.computeIfAbsent(service, name -> new ServiceHomes());
      homes.speeds.record(dataCentre, 1 / capacity.tokenMillis(), nowNanos);
      homes.capacity = capacity;
      homes.receivedNanos = nowNanos;
    }
  }

  @Override
  public Homes homes(
      String service, SharedPrefix prefix, List<Upstream> candidates, int senders, long nowNanos) {
    ServiceHomes homes = services.get(service);
    if (homes == null || nowNanos - homes.receivedNanos > VALIDITY_NANOS) {
      return ONE.homes(service, prefix, candidates, senders, nowNanos);
    }
    double workMillis =
        homes.capacity.requestMillis() + homes.capacity.tokenMillis() * prefix.ownTokens();
    int count = homes.counts.record(prefix.identity(), senders * workMillis, nowNanos);
    List<Upstream> ranked =
        RendezvousHash.sortedByWeight(
            prefix.identity(),
            serving(service, candidates, nowNanos),
            Upstream::name,
            upstream -> homes.speeds.get(upstream.dataCentre()));
    return new Homes(ranked.subList(0, Math.min(count, ranked.size())), AWAY_WEIGHT);
  }

  /** Leaves out the upstreams that have said that they are leaving. */
  private List<Upstream> serving(String service, List<Upstream> candidates, long nowNanos) {
    return known.restricts(service, nowNanos)
        ? candidates.stream()
            .filter(
                upstream ->
                    known.availability(known.find(upstream.name())).state(nowNanos).serving())
            .toList()
        : candidates;
  }
}

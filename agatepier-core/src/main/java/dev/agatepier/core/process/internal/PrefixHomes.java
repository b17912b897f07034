package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/** Determines which upstreams are the homes of shared prompt prefixes. */
interface PrefixHomes {

  /**
   * Weight of prefilling shared tokens away from the only home: it delays all requests queued
   * behind it, takes engine memory from other requests and costs the operator. A request whose home
   * is full therefore gains little from another data centre, unless that one is idle.
   */
  double AWAY_WEIGHT = 4;

  /** One home, by the names of the upstreams alone. */
  PrefixHomes ONE =
      (service, prefix, candidates, senders, nowNanos) ->
          new Homes(
              RendezvousHash.sorted(prefix.identity(), candidates, upstream -> 0, Upstream::name)
                  .stream()
                  .limit(1)
                  .toList(),
              AWAY_WEIGHT);

  /**
   * The homes of a prefix.
   *
   * @param upstreams the homes; empty if there are no candidates
   * @param awayWeight weight of prefilling the prefix elsewhere
   */
  record Homes(List<Upstream> upstreams, double awayWeight) {

    /** Makes an unmodifiable copy of the upstreams. */
    public Homes {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Returns the homes of a request's prefix, and counts the request.
   *
   * @param candidates upstreams of the service that serve and are permitted
   * @param senders routers that are assumed to have as many requests as this one, and itself
   */
  Homes homes(
      String service, SharedPrefix prefix, List<Upstream> candidates, int senders, long nowNanos);

  /** Records the measured capacity of a service in a data centre. */
  default void recordCapacity(
      String service, String dataCentre, MeasuredCapacity capacity, long nowNanos) {}
}

package dev.agatepier.core.process;

/**
 * Settings of a router's decision.
 *
 * @param sidecarsPerService maximum number of sidecars of one service to which a router sends its
 *     demand
 * @param spillMillis time after which waiting demand is also sent to other regions, in milliseconds
 * @param affinityMillis maximum time for which a request waits for the sidecar that served its
 *     prefix, in milliseconds
 * @param attempts maximum number of attempts of an idempotent request
 * @param quarantineDeaths number of upstream crashes after which a fingerprint is quarantined
 * @param quarantineMillis duration of the quarantine, in milliseconds
 * @param windowBytes flow-control window: maximum response bytes in flight to one caller
 * @param ticketMillis validity of a ticket, in milliseconds
 * @param retryWindowMillis window of the retry budget that the fleet has for a service, in
 *     milliseconds
 * @param retrySlack retries of a service that the whole fleet may make in one window in addition to
 *     the share of its requests; may have a fraction
 * @param regionMillis total time of the round trips to another region until a slot is granted and
 *     the response starts, in milliseconds
 * @param retryShare maximum ratio of retries to requests, from 0 to 1, for services whose entries
 *     set none
 * @param originCachePort port at which origin caches receive datagrams on the instances of
 *     upstreams; 0 if there are none
 */
public record RouterPolicy(
    int sidecarsPerService,
    long spillMillis,
    long affinityMillis,
    int attempts,
    int quarantineDeaths,
    long quarantineMillis,
    long windowBytes,
    long ticketMillis,
    long retryWindowMillis,
    double retrySlack,
    long regionMillis,
    double retryShare,
    int originCachePort) {

  /** The default values. */
  public static final RouterPolicy DEFAULT =
      new RouterPolicy(16, 500, 50, 3, 3, 600_000, 262_144, 600_000, 10_000, 50, 80, 0.1, 0);

  /** Creates a policy without origin caches. */
  public RouterPolicy(
      int sidecarsPerService,
      long spillMillis,
      long affinityMillis,
      int attempts,
      int quarantineDeaths,
      long quarantineMillis,
      long windowBytes,
      long ticketMillis,
      long retryWindowMillis,
      double retrySlack,
      long regionMillis,
      double retryShare) {
    this(
        sidecarsPerService,
        spillMillis,
        affinityMillis,
        attempts,
        quarantineDeaths,
        quarantineMillis,
        windowBytes,
        ticketMillis,
        retryWindowMillis,
        retrySlack,
        regionMillis,
        retryShare,
        0);
  }

  /** Checks that every value is in range. */
  public RouterPolicy {
    if (sidecarsPerService < 1 || attempts < 1 || quarantineDeaths < 1 || windowBytes < 1) {
      throw new IllegalArgumentException(
          "router policy: sidecarsPerService "
              + sidecarsPerService
              + ", attempts "
              + attempts
              + ", quarantineDeaths "
              + quarantineDeaths
              + ", windowBytes "
              + windowBytes
              + ": each must be at least 1");
    }
    if (spillMillis < 0 || affinityMillis < 0 || quarantineMillis < 0 || ticketMillis < 0) {
      throw new IllegalArgumentException(
          "router policy: spillMillis "
              + spillMillis
              + ", affinityMillis "
              + affinityMillis
              + ", quarantineMillis "
              + quarantineMillis
              + ", ticketMillis "
              + ticketMillis
              + ": none may be negative");
    }
    if (originCachePort < 0 || originCachePort > 65_535) {
      throw new IllegalArgumentException(
          "router policy: originCachePort " + originCachePort + " must be from 0 to 65535");
    }
    if (retryWindowMillis < 1
        || !(retrySlack >= 0)
        || regionMillis < 0
        || !(retryShare >= 0 && retryShare <= 1)) {
      throw new IllegalArgumentException(
          "router policy: retryWindowMillis "
              + retryWindowMillis
              + " must be at least 1, retrySlack "
              + retrySlack
              + " and regionMillis "
              + regionMillis
              + " at least 0, retryShare "
              + retryShare
              + " from 0 to 1");
    }
  }
}

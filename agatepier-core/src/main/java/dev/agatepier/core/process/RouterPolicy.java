package dev.agatepier.core.process;

/**
 * What operators may set about a router's decisions.
 *
 * @param sidecarsPerService sidecars of one service that a router tells of its demand
 * @param spillMillis how long demand stays in the router's own region, in milliseconds
 * @param affinityMillis how long a request waits for the sidecar that served its prefix, in
 *     milliseconds
 * @param attempts most attempts of one idempotent request
 * @param quarantineDeaths deaths of upstreams after which a fingerprint is refused
 * @param quarantineMillis how long it is refused, in milliseconds
 * @param windowBytes bytes of answer in flight to one caller
 * @param ticketMillis how long a ticket is good, in milliseconds
 * @param retryWindowMillis window in which the fleet's retries of a service are bounded, in
 *     milliseconds
 * @param retrySlack retries of a service that the whole fleet may make in one window beside those
 *     that its requests earn
 * @param regionMillis time that the way to another region and back takes until a slot is granted
 *     and the answer begins, in milliseconds
 * @param retryShare retries allowed as a share of requests, for services whose entries say nothing
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
    int retrySlack,
    long regionMillis,
    double retryShare) {

  /** The values used where settings say nothing. */
  public static final RouterPolicy DEFAULT =
      new RouterPolicy(16, 500, 50, 3, 3, 600_000, 262_144, 600_000, 10_000, 50, 80, 0.1);

  /** Checks that every value is in range. */
  public RouterPolicy {
    if (sidecarsPerService < 1 || attempts < 1 || quarantineDeaths < 1 || windowBytes < 1) {
      throw new IllegalArgumentException("a count of the router policy is below 1");
    }
    if (spillMillis < 0 || affinityMillis < 0 || quarantineMillis < 0 || ticketMillis < 0) {
      throw new IllegalArgumentException("a time of the router policy is negative");
    }
    if (retryWindowMillis < 1
        || retrySlack < 0
        || regionMillis < 0
        || !(retryShare >= 0 && retryShare <= 1)) {
      throw new IllegalArgumentException("the retry budget of the router policy is out of range");
    }
  }
}

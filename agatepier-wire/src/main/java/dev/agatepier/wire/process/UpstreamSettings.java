package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * How a sidecar reaches its upstream.
 *
 * @param address IP number of the upstream
 * @param port TCP port of the upstream
 * @param maximumConnections most connections open at one time
 * @param connectMillis longest time for connecting, in milliseconds
 * @param idleMillis how long an unused connection is kept, in milliseconds
 * @param healthMillis time between health checks, in milliseconds
 * @param healthTimeoutMillis longest time for one health check, in milliseconds
 */
public record UpstreamSettings(
    String address,
    int port,
    int maximumConnections,
    long connectMillis,
    long idleMillis,
    long healthMillis,
    long healthTimeoutMillis) {

  /** Checks that every value is in range. */
  public UpstreamSettings {
    Objects.requireNonNull(address, "address");
    if (maximumConnections < 1) {
      throw new IllegalArgumentException("the upstream needs at least one connection");
    }
    if (connectMillis < 1 || idleMillis < 1 || healthMillis < 1 || healthTimeoutMillis < 1) {
      throw new IllegalArgumentException("a time of the upstream is below 1 ms");
    }
  }

  /** Returns the values used where settings say nothing. */
  public static UpstreamSettings withDefaults(String address, int port) {
    return new UpstreamSettings(address, port, 1_024, 1_000, 5_000, 250, 2_000);
  }
}

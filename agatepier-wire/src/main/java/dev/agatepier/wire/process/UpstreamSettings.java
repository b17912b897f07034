package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Address, limits and timeouts for the upstream of a sidecar.
 *
 * @param address IP address of the upstream
 * @param port TCP port of the upstream
 * @param maximumConnections maximum connections open at one time
 * @param connectMillis connect timeout, in milliseconds
 * @param idleMillis idle time after which a connection is closed, in milliseconds
 * @param healthMillis interval between health checks, in milliseconds
 * @param healthTimeoutMillis timeout of a health check, in milliseconds
 */
public record UpstreamSettings(
    String address,
    int port,
    int maximumConnections,
    long connectMillis,
    long idleMillis,
    long healthMillis,
    long healthTimeoutMillis) {

  /** Requires an address and values in range. */
  public UpstreamSettings {
    Objects.requireNonNull(address, "address");
    if (maximumConnections < 1) {
      throw new IllegalArgumentException(
          "maximumConnections must be at least 1: " + maximumConnections);
    }
    if (connectMillis < 1 || idleMillis < 1 || healthMillis < 1 || healthTimeoutMillis < 1) {
      throw new IllegalArgumentException(
          "connectMillis, idleMillis, healthMillis and healthTimeoutMillis must be at least 1: "
              + connectMillis
              + ", "
              + idleMillis
              + ", "
              + healthMillis
              + ", "
              + healthTimeoutMillis);
    }
  }

  /** Returns settings with an address and port, and defaults for everything else. */
  public static UpstreamSettings withDefaults(String address, int port) {
    return new UpstreamSettings(address, port, 1_024, 1_000, 5_000, 250, 2_000);
  }
}

package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Address, bounds and timeouts of the HTTP front end of a router.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 lets the system choose a free one
 * @param maximumHeaderBytes maximum bytes of all header fields of a request
 * @param maximumBodyBytes maximum bytes of one request body
 * @param maximumHeldBytes maximum bytes of all request bodies held at one time
 * @param windowBytes bytes of a response in flight to one caller
 * @param ticketMillis validity of a ticket, in milliseconds
 * @param idleMillis maximum idle time of a connection between requests, in milliseconds
 * @param maximumConnections maximum connections at one time; any further one is closed immediately
 */
public record CallerSettings(
    String address,
    int port,
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long maximumHeldBytes,
    long windowBytes,
    long ticketMillis,
    long idleMillis,
    int maximumConnections) {

  /** Upper bound of {@code maximumBodyBytes}: a frame between processes must hold a body. */
  public static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

  /** Requires an address and values in range. */
  public CallerSettings {
    Objects.requireNonNull(address, "address");
    if (maximumBodyBytes < 0 || maximumBodyBytes > MAXIMUM_BODY_BYTES) {
      throw new IllegalArgumentException(
          "maximumBodyBytes must be from 0 to " + MAXIMUM_BODY_BYTES + ": " + maximumBodyBytes);
    }
    if (maximumHeaderBytes < 1 || maximumHeldBytes < 1 || windowBytes < 1) {
      throw new IllegalArgumentException(
          "maximumHeaderBytes, maximumHeldBytes and windowBytes must be at least 1: "
              + maximumHeaderBytes
              + ", "
              + maximumHeldBytes
              + ", "
              + windowBytes);
    }
    if (maximumConnections < 1) {
      throw new IllegalArgumentException(
          "maximumConnections must be at least 1: " + maximumConnections);
    }
    if (ticketMillis < 1 || idleMillis < 1) {
      throw new IllegalArgumentException(
          "ticketMillis and idleMillis must be at least 1: " + ticketMillis + ", " + idleMillis);
    }
  }

  /** Returns settings with an address and port, and defaults for everything else. */
  public static CallerSettings withDefaults(String address, int port) {
    return new CallerSettings(
        address, port, 32_768, MAXIMUM_BODY_BYTES, 134_217_728, 262_144, 600_000, 60_000, 4_096);
  }
}

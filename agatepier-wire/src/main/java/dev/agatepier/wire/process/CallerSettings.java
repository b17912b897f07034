package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * What operators may set about the callers' side of a router.
 *
 * @param address IP number to listen on
 * @param port TCP port; 0 asks the system for a free one
 * @param maximumHeaderBytes most bytes of all header fields of a request
 * @param maximumBodyBytes most bytes of one body
 * @param maximumHeldBytes most bytes of all bodies held at one time
 * @param windowBytes bytes of answer in flight to one caller
 * @param ticketMillis how long a ticket is good, in milliseconds
 * @param idleMillis how long a connection may stay idle between requests, in milliseconds
 * @param maximumConnections most connections at one time; further ones are closed at once
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

  /** Most bytes of one body that any settings allow; a frame between processes must hold it. */
  public static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

  /** Checks that every value is in range. */
  public CallerSettings {
    Objects.requireNonNull(address, "address");
    if (maximumBodyBytes < 0 || maximumBodyBytes > MAXIMUM_BODY_BYTES) {
      throw new IllegalArgumentException(
          "the largest body must be from 0 to " + MAXIMUM_BODY_BYTES + " bytes");
    }
    if (maximumHeaderBytes < 1 || maximumHeldBytes < 1 || windowBytes < 1) {
      throw new IllegalArgumentException("a bound of the callers' side is below 1 byte");
    }
    if (maximumConnections < 1) {
      throw new IllegalArgumentException("the callers' side needs at least one connection");
    }
    if (ticketMillis < 1 || idleMillis < 1) {
      throw new IllegalArgumentException("a time of the callers' side is below 1 ms");
    }
  }

  /** Returns the values used where settings say nothing. */
  public static CallerSettings withDefaults(String address, int port) {
    return new CallerSettings(
        address, port, 32_768, MAXIMUM_BODY_BYTES, 134_217_728, 262_144, 600_000, 60_000, 4_096);
  }
}

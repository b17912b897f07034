package dev.agatepier.wire.connection;

import java.util.Objects;
import java.util.Optional;

/**
 * What operators may set about links.
 *
 * @param heartbeatMillis time between heartbeats, in milliseconds
 * @param missedHeartbeats heartbeats that may be missed before a link counts as lost
 * @param handshakeMillis time for connecting and for the handshake, in milliseconds
 * @param maximumFrameBytes longest message, in bytes
 * @param queueMessages most messages waiting to be written on one link
 * @param queueBytes most bytes waiting to be written on one link
 * @param minimumBackoffMillis shortest time before connecting again, in milliseconds
 * @param maximumBackoffMillis longest time before connecting again, in milliseconds
 * @param tls certificates of the link; empty for plain TCP
 */
public record LinkSettings(
    long heartbeatMillis,
    int missedHeartbeats,
    long handshakeMillis,
    int maximumFrameBytes,
    int queueMessages,
    long queueBytes,
    long minimumBackoffMillis,
    long maximumBackoffMillis,
    Optional<LinkTls> tls) {

  /** Longest message that any settings allow, in bytes. */
  public static final int MAXIMUM_FRAME_BYTES = 5 * 1024 * 1024;

  /** The values used where settings say nothing. */
  public static final LinkSettings DEFAULT =
      new LinkSettings(
          500, 4, 2_000, MAXIMUM_FRAME_BYTES, 16_384, 16_777_216, 50, 2_000, Optional.empty());

  /** Checks that every value is in range. */
  public LinkSettings {
    Objects.requireNonNull(tls, "tls");
    if (heartbeatMillis < 1 || missedHeartbeats < 1 || handshakeMillis < 1) {
      throw new IllegalArgumentException("a heartbeat or handshake setting is below 1");
    }
    if (maximumFrameBytes < 1 || maximumFrameBytes > MAXIMUM_FRAME_BYTES) {
      throw new IllegalArgumentException(
          "the longest frame must be from 1 to " + MAXIMUM_FRAME_BYTES + " bytes");
    }
    if (queueMessages < 1 || queueBytes < 1) {
      throw new IllegalArgumentException("a queue bound of links is below 1");
    }
    if (minimumBackoffMillis < 1 || maximumBackoffMillis < minimumBackoffMillis) {
      throw new IllegalArgumentException("back-off must be from 1 ms up, the longest not below");
    }
  }

  /** Returns the silence after which a link counts as lost, in nanoseconds. */
  public long heartbeatTimeoutNanos() {
    return heartbeatMillis * missedHeartbeats * 1_000_000L;
  }
}

package dev.agatepier.wire.connection;

import java.util.Objects;
import java.util.Optional;

/**
 * Limits and timeouts of links, as operators set them.
 *
 * @param heartbeatMillis heartbeat interval, in milliseconds
 * @param missedHeartbeats number of heartbeat intervals without data after which a link is closed
 * @param handshakeMillis connect timeout and handshake timeout, in milliseconds
 * @param maximumFrameBytes maximum size of a message, in bytes
 * @param queueMessages maximum number of messages in the outbound queue of a link
 * @param queueBytes maximum number of bytes in the outbound queue of a link
 * @param minimumBackoffMillis minimum reconnect delay, in milliseconds
 * @param maximumBackoffMillis maximum reconnect delay, in milliseconds
 * @param tls certificates for mutual TLS; empty for plain TCP
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

  /** Upper bound of {@code maximumFrameBytes}, in bytes. */
  public static final int MAXIMUM_FRAME_BYTES = 5 * 1024 * 1024;

  /** Values used for settings that are omitted. */
  public static final LinkSettings DEFAULT =
      new LinkSettings(
          500, 4, 2_000, MAXIMUM_FRAME_BYTES, 16_384, 16_777_216, 50, 2_000, Optional.empty());

  /** Checks the range of every value. */
  public LinkSettings {
    Objects.requireNonNull(tls, "tls");
    if (heartbeatMillis < 1 || missedHeartbeats < 1 || handshakeMillis < 1) {
      throw new IllegalArgumentException(
          "heartbeatMillis ("
              + heartbeatMillis
              + "), missedHeartbeats ("
              + missedHeartbeats
              + ") and handshakeMillis ("
              + handshakeMillis
              + ") must be at least 1");
    }
    if (maximumFrameBytes < 1 || maximumFrameBytes > MAXIMUM_FRAME_BYTES) {
      throw new IllegalArgumentException(
          "maximumFrameBytes is "
              + maximumFrameBytes
              + ", but must be from 1 to "
              + MAXIMUM_FRAME_BYTES);
    }
    if (queueMessages < 1 || queueBytes < 1) {
      throw new IllegalArgumentException(
          "queueMessages ("
              + queueMessages
              + ") and queueBytes ("
              + queueBytes
              + ") must be at least 1");
    }
    if (minimumBackoffMillis < 1 || maximumBackoffMillis < minimumBackoffMillis) {
      throw new IllegalArgumentException(
          "minimumBackoffMillis ("
              + minimumBackoffMillis
              + ") must be at least 1 and at most maximumBackoffMillis ("
              + maximumBackoffMillis
              + ")");
    }
  }

  /** Returns the time without received data after which a link is closed, in nanoseconds. */
  public long heartbeatTimeoutNanos() {
    return heartbeatMillis * missedHeartbeats * 1_000_000L;
  }
}

package dev.agatepier.wire.version;

import dev.agatepier.core.connection.LinkMessage;

/** Sends messages over the links of the process. */
@FunctionalInterface
public interface PeerSender {

  /**
   * Sends a message; never blocks.
   *
   * @param instance instance name of the peer
   * @param message the message
   * @return false if there is no such link or it is full, and the message was not taken
   */
  boolean send(String instance, LinkMessage message);
}

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
   * @return false if there is no link to the peer or its queue is full; the message is not sent
   */
  boolean send(String instance, LinkMessage message);
}

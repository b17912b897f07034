package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** An authenticated connection to another process of the fleet. */
public interface Link {

  /**
   * Queues a message without blocking. Closes the link if its outbound queue is full.
   *
   * @return false if the link was already closed or this call closed it
   */
  boolean send(LinkMessage message);

  /** Closes the connection at once, without waiting for queued messages. */
  void close(String reason);

  /** Returns the identity that the peer proved in the handshake. */
  PeerIdentity peer();

  /** Returns a snapshot of the traffic of this link. */
  LinkCounters counters();
}

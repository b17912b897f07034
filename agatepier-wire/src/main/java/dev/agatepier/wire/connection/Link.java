package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** An authenticated connection to another process of the fleet. */
public interface Link {

  /**
   * Queues a message; never blocks. A queue that is full closes the link.
   *
   * @return false if the link is closed or was closed by this call
   */
  boolean send(LinkMessage message);

  /** Closes the link; the peer sees the connection end. */
  void close(String reason);

  /** Returns who is at the other end. */
  PeerIdentity peer();

  /** Returns what has crossed the link so far. */
  LinkCounters counters();
}

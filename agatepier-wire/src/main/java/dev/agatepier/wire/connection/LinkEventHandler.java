package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/**
 * Callbacks for the links of a process. For each peer the order of calls is {@link
 * #onPeerConnected}, {@link #onMessage} for each message, {@link #onPeerDisconnected}. Calls for
 * different peers may run concurrently. Implementations must not block.
 */
public interface LinkEventHandler {

  /** Called when a link is authenticated and has become the active link to its peer. */
  void onPeerConnected(PeerIdentity peer, Link link);

  /**
   * Called for each message received on an active link, heartbeats included.
   *
   * @return false if the message cannot be accepted now; the link then stops reading from its
   *     socket and offers the message again
   */
  boolean onMessage(PeerIdentity peer, LinkMessage message);

  /** Called when the active link to a peer has closed or was replaced. */
  void onPeerDisconnected(PeerIdentity peer, String reason);
}

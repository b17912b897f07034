package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/**
 * Told of everything that happens on links. For each peer calls come in the order {@code linked},
 * its messages, {@code unlinked}; calls about different peers may overlap. No call may block.
 */
public interface LinkEventHandler {

  /** A link is up and authenticated. */
  void onPeerConnected(PeerIdentity peer, Link link);

  /**
   * A message came over a link.
   *
   * @return false if it cannot be taken now; the link reads nothing further and offers it again
   */
  boolean onMessage(PeerIdentity peer, LinkMessage message);

  /** A link is gone, after {@code linked} for the same peer. */
  void onPeerDisconnected(PeerIdentity peer, String reason);
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** Events of the cost aggregator's decision. */
public sealed interface HolderEvent {

  /**
   * A link to a router or a sidecar was established and authenticated.
   *
   * @param peer the remote process
   */
  record PeerLinked(PeerIdentity peer) implements HolderEvent {}

  /**
   * The link to a router or a sidecar was closed.
   *
   * @param peer the remote process
   */
  record PeerUnlinked(PeerIdentity peer) implements HolderEvent {}

  /**
   * A message was received over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements HolderEvent {}

  /** The periodic timer has expired. */
  record TimePassed() implements HolderEvent {}
}

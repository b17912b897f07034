package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** Everything that the holder's decision is told. */
public sealed interface HolderEvent {

  /**
   * A link to a router or a sidecar is up and authenticated.
   *
   * @param peer the other process
   */
  record PeerLinked(PeerIdentity peer) implements HolderEvent {}

  /**
   * A link to a router or a sidecar is gone.
   *
   * @param peer the other process
   */
  record PeerUnlinked(PeerIdentity peer) implements HolderEvent {}

  /**
   * A message came over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements HolderEvent {}

  /** Time has passed. */
  record TimePassed() implements HolderEvent {}
}

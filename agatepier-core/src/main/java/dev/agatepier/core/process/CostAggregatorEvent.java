package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** Everything that the holder's decision is told. */
public sealed interface CostAggregatorEvent {

  /**
   * A link to a router or a sidecar is up and authenticated.
   *
   * @param peer the other process
   */
  record PeerConnected(PeerIdentity peer) implements CostAggregatorEvent {}

  /**
   * A link to a router or a sidecar is gone.
   *
   * @param peer the other process
   */
  record PeerDisconnected(PeerIdentity peer) implements CostAggregatorEvent {}

  /**
   * A message came over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements CostAggregatorEvent {}

  /** Time has passed. */
  record TimePassed() implements CostAggregatorEvent {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;

/** Events of the cost aggregator's decision. */
public sealed interface CostAggregatorEvent {

  /**
   * A link to a router or a sidecar was established and authenticated.
   *
   * @param peer the remote process
   */
  record PeerConnected(PeerIdentity peer) implements CostAggregatorEvent {}

  /**
   * The link to a router or a sidecar was closed.
   *
   * @param peer the remote process
   */
  record PeerDisconnected(PeerIdentity peer) implements CostAggregatorEvent {}

  /**
   * A message was received over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageReceived(PeerIdentity peer, LinkMessage message) implements CostAggregatorEvent {}

  /** The periodic timer has expired. */
  record Tick() implements CostAggregatorEvent {}
}

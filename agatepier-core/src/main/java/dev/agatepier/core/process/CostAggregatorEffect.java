package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;

/** Everything that the holder's decision asks for. */
public sealed interface CostAggregatorEffect {

  /**
   * Send a message over the link to a process; dropped if there is no such link.
   *
   * @param instance instance name of the receiver
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements CostAggregatorEffect {}
}

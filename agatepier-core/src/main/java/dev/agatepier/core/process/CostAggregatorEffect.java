package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;

/** Effects of the cost aggregator's decision. */
public sealed interface CostAggregatorEffect {

  /**
   * Send a message over the link to a process. The message is dropped if there is no link.
   *
   * @param instance instance name of the receiver
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements CostAggregatorEffect {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.SlotMessage;

/** Everything that a slot keeper asks for. */
public sealed interface SlotKeeperEffect {

  /**
   * Send a message to a router, which may be the keeper's own.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record Send(String router, SlotMessage message) implements SlotKeeperEffect {}

  /**
   * An upstream is taken out of use or back into it; for logs.
   *
   * @param upstream name of the upstream
   * @param usable whether slots of it are granted from now on
   * @param reason why
   * @param sinceMillis how long the reason has held, in milliseconds
   */
  record UpstreamJudged(String upstream, boolean usable, String reason, long sinceMillis)
      implements SlotKeeperEffect {}
}

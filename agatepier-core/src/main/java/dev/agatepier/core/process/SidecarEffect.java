package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;

/** Everything that the sidecar's decision asks for. */
public sealed interface SidecarEffect {

  /**
   * Send a message over the link to a router; dropped if there is no such link.
   *
   * @param instance instance name of the router
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements SidecarEffect {}

  /**
   * Hand an attempt to the upstream.
   *
   * @param attempt the attempt
   * @param head head of the request
   * @param body whole body
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param windowBytes bytes of answer that may be read before more credit comes
   */
  record StartUpstream(
      AttemptId attempt, CallHead head, Bytes body, long timeLeftMillis, long windowBytes)
      implements SidecarEffect {}

  /**
   * Read more of an answer.
   *
   * @param attempt the attempt
   * @param bytes further bytes that may be read
   */
  record ReadUpstream(AttemptId attempt, long bytes) implements SidecarEffect {}

  /**
   * Cancel an attempt at the upstream; answered by {@link SidecarEvent.UpstreamFailed} unless the
   * attempt has ended already.
   *
   * @param attempt the attempt
   */
  record CancelUpstream(AttemptId attempt) implements SidecarEffect {}

  /** Nothing is left to finish after {@link SidecarEvent.DrainBegun}. */
  record Drained() implements SidecarEffect {}
}

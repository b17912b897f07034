package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;

/** Effects of the sidecar's decision. */
public sealed interface SidecarEffect {

  /**
   * Send a message over the link to a router. The message is dropped if there is no link.
   *
   * @param instance instance name of the router
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements SidecarEffect {}

  /**
   * Start an attempt at the upstream.
   *
   * @param attempt the attempt
   * @param head method, path and headers of the request
   * @param body the complete body
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param windowBytes response bytes that may be read before {@link ReadUpstream} grants more
   */
  record StartUpstream(
      AttemptId attempt, CallHead head, Bytes body, long timeLeftMillis, long windowBytes)
      implements SidecarEffect {}

  /**
   * Read more of a response.
   *
   * @param attempt the attempt
   * @param bytes additional response bytes that may be read
   */
  record ReadUpstream(AttemptId attempt, long bytes) implements SidecarEffect {}

  /**
   * Cancel an attempt at the upstream. The cancellation results in {@link
   * SidecarEvent.UpstreamFailed} unless the attempt has already ended.
   *
   * @param attempt the attempt
   */
  record CancelUpstream(AttemptId attempt) implements SidecarEffect {}

  /** The drain that {@link SidecarEvent.DrainStarted} started is complete. */
  record Drained() implements SidecarEffect {}
}

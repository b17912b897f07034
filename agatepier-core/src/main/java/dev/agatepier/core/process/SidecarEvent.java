package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;

/** Events of the sidecar's decision. */
public sealed interface SidecarEvent {

  /**
   * A link from a router was established and authenticated.
   *
   * @param peer the router
   */
  record RouterConnected(PeerIdentity peer) implements SidecarEvent {}

  /**
   * The link from a router was closed.
   *
   * @param peer the router
   */
  record RouterDisconnected(PeerIdentity peer) implements SidecarEvent {}

  /**
   * A message was received over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageReceived(PeerIdentity peer, LinkMessage message) implements SidecarEvent {}

  /**
   * The upstream's response has started.
   *
   * @param attempt the attempt
   * @param head status and headers
   */
  record UpstreamResponseStarted(AttemptId attempt, ResponseHead head) implements SidecarEvent {}

  /**
   * Part of the upstream's response body was received.
   *
   * @param attempt the attempt
   * @param content the part
   * @param tokens number of tokens in the part; 0 for plain services
   */
  record UpstreamResponseData(AttemptId attempt, Bytes content, int tokens)
      implements SidecarEvent {}

  /**
   * The upstream's response is complete.
   *
   * @param attempt the attempt
   * @param reportedTokens number of tokens that the engine reports for the response; 0 if it
   *     reports none
   */
  record UpstreamResponseCompleted(AttemptId attempt, long reportedTokens)
      implements SidecarEvent {}

  /**
   * An attempt failed. Its response stays incomplete.
   *
   * @param attempt the attempt
   * @param sent whether any byte of the request may have reached the upstream
   * @param reason reason of the failure
   */
  record UpstreamFailed(AttemptId attempt, boolean sent, Reason reason) implements SidecarEvent {}

  /**
   * The result of the upstream's health check has changed.
   *
   * @param healthy whether the upstream accepts requests
   * @param crashed whether its process is known to have crashed since the previous event
   */
  record UpstreamHealthChanged(boolean healthy, boolean crashed) implements SidecarEvent {}

  /**
   * A table version was activated.
   *
   * @param table the table of this version
   */
  record TableActivated(Table table) implements SidecarEvent {}

  /**
   * A version of the instance list was activated.
   *
   * @param instances the list of this version
   */
  record InstancesActivated(InstanceList instances) implements SidecarEvent {}

  /** The periodic timer has expired. */
  record Tick() implements SidecarEvent {}

  /** The process must grant no more slots and complete the accepted attempts. */
  record DrainStarted() implements SidecarEvent {}
}

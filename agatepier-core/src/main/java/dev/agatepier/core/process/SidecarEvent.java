package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;

/** Everything that the sidecar's decision is told. */
public sealed interface SidecarEvent {

  /**
   * A link from a router is up and authenticated.
   *
   * @param peer the router
   */
  record RouterConnected(PeerIdentity peer) implements SidecarEvent {}

  /**
   * A link from a router is gone.
   *
   * @param peer the router
   */
  record RouterDisconnected(PeerIdentity peer) implements SidecarEvent {}

  /**
   * A message came over a link.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements SidecarEvent {}

  /**
   * The upstream began to answer.
   *
   * @param attempt the attempt answered
   * @param head status and headers
   */
  record UpstreamResponseStarted(AttemptId attempt, ResponseHead head) implements SidecarEvent {}

  /**
   * The upstream sent part of an answer.
   *
   * @param attempt the attempt answered
   * @param content the part
   * @param tokens tokens in the part; 0 for plain services
   */
  record UpstreamResponseData(AttemptId attempt, Bytes content, int tokens)
      implements SidecarEvent {}

  /**
   * The upstream's answer is whole.
   *
   * @param attempt the attempt answered
   * @param reportedTokens tokens that the engine reports for it; 0 if it reports none
   */
  record UpstreamResponseCompleted(AttemptId attempt, long reportedTokens)
      implements SidecarEvent {}

  /**
   * The upstream's answer will not become whole.
   *
   * @param attempt the attempt
   * @param sent whether any byte of the request may have reached the upstream
   * @param reason what went wrong
   */
  record UpstreamFailed(AttemptId attempt, boolean sent, Reason reason) implements SidecarEvent {}

  /**
   * The health check of the upstream changed its mind.
   *
   * @param healthy whether the upstream takes requests
   * @param crashed whether its process is known to have died since the last event
   */
  record UpstreamHealthChanged(boolean healthy, boolean crashed) implements SidecarEvent {}

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableActivated(Table table) implements SidecarEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesActivated(InstanceList instances) implements SidecarEvent {}

  /** Time has passed. */
  record TimePassed() implements SidecarEvent {}

  /** The process is to grant nothing more and to finish what it has. */
  record DrainBegun() implements SidecarEvent {}
}

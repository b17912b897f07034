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
  record RouterLinked(PeerIdentity peer) implements SidecarEvent {}

  /**
   * A link from a router is gone.
   *
   * @param peer the router
   */
  record RouterUnlinked(PeerIdentity peer) implements SidecarEvent {}

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
  record UpstreamBegan(AttemptId attempt, ResponseHead head) implements SidecarEvent {}

  /**
   * The upstream sent part of an answer.
   *
   * @param attempt the attempt answered
   * @param content the part
   * @param tokens tokens in the part; 0 for plain services
   */
  record UpstreamSent(AttemptId attempt, Bytes content, int tokens) implements SidecarEvent {}

  /**
   * The upstream's answer is whole.
   *
   * @param attempt the attempt answered
   * @param reportedTokens tokens that the engine reports for it; 0 if it reports none
   */
  record UpstreamEnded(AttemptId attempt, long reportedTokens) implements SidecarEvent {}

  /**
   * The upstream's answer will not become whole.
   *
   * @param attempt the attempt
   * @param sent whether any byte of the request may have reached the upstream
   * @param reason what went wrong
   */
  record UpstreamBroke(AttemptId attempt, boolean sent, Reason reason) implements SidecarEvent {}

  /**
   * The health check of the upstream changed its mind.
   *
   * @param healthy whether the upstream takes requests
   * @param died whether its process is known to have died since the last event
   */
  record UpstreamHealth(boolean healthy, boolean died) implements SidecarEvent {}

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableInForce(Table table) implements SidecarEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesInForce(InstanceList instances) implements SidecarEvent {}

  /** Time has passed. */
  record TimePassed() implements SidecarEvent {}

  /** The process is to grant nothing more and to finish what it has. */
  record DrainBegun() implements SidecarEvent {}
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import java.util.Optional;

/** Everything that the router's decision is told. */
public sealed interface RouterEvent {

  /**
   * A caller whose key has been checked asks for something.
   *
   * @param request name given to the request
   * @param workspace workspace that the key belongs to
   * @param service service asked for
   * @param head head of the request
   * @param body whole body
   * @param fingerprint recognises the content
   * @param ticket the ticket the call is made under, already authenticated
   * @param deadlineNanos reading of the process's clock at which the caller gives up
   */
  record CallArrived(
      RequestId request,
      String workspace,
      String service,
      CallHead head,
      Bytes body,
      Fingerprint fingerprint,
      Optional<Ticket> ticket,
      long deadlineNanos)
      implements RouterEvent {}

  /**
   * A caller whose key has been checked asks for a ticket.
   *
   * @param request name given to the request
   * @param workspace workspace that the key belongs to
   * @param service service the ticket is to be good for
   */
  record TicketWanted(RequestId request, String workspace, String service) implements RouterEvent {}

  /**
   * The caller hung up.
   *
   * @param request its request
   */
  record CallerGone(RequestId request) implements RouterEvent {}

  /**
   * The caller has taken part of the answer.
   *
   * @param request its request
   * @param bytes bytes taken since the last event
   */
  record CallerTook(RequestId request, long bytes) implements RouterEvent {}

  /**
   * A link to a sidecar or another router is up and authenticated.
   *
   * @param peer the other end
   */
  record PeerLinked(PeerIdentity peer) implements RouterEvent {}

  /**
   * A link to a sidecar or another router is gone.
   *
   * @param peer the other end
   */
  record PeerUnlinked(PeerIdentity peer) implements RouterEvent {}

  /**
   * A message came over a link.
   *
   * @param peer the sender, a sidecar or another router
   * @param message the message
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message) implements RouterEvent {}

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableInForce(Table table) implements RouterEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesInForce(InstanceList instances) implements RouterEvent {}

  /** Time has passed. */
  record TimePassed() implements RouterEvent {}

  /** The process is to take no new request and to finish what it has. */
  record DrainBegun() implements RouterEvent {}
}

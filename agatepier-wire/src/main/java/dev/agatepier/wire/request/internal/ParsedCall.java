package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.Optional;

/**
 * Head of a request that passed every check.
 *
 * @param target what it asks for
 * @param workspace name of the caller's workspace
 * @param head head for the upstream
 * @param ticket ticket that the call is made under
 * @param deadlineNanos reading of the process's clock at which the caller gives up
 */
public record ParsedCall(
    CallTarget target,
    String workspace,
    CallHead head,
    Optional<Ticket> ticket,
    long deadlineNanos) {

  /** Returns the event that tells the router's decision of the call. */
  public RouterEvent toEvent(RequestId request, Bytes body) {
    if (target.ticketRequested()) {
      return new RouterEvent.TicketRequested(request, workspace, target.service());
    }
    return new RouterEvent.CallArrived(
        request,
        workspace,
        target.service(),
        head,
        body,
        new Fingerprint(workspace, target.service(), ContentDigest.of(head, body)),
        ticket,
        deadlineNanos);
  }
}

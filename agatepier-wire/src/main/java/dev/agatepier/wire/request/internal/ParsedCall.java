package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.Optional;

/**
 * Head of a request that has been validated.
 *
 * @param target target of the request
 * @param workspace name of the caller's workspace
 * @param head head of the request that is sent to the upstream
 * @param ticket ticket that the call uses
 * @param deadlineNanos deadline of the call, in nanoseconds of the process's monotonic clock
 */
public record ParsedCall(
    CallTarget target,
    String workspace,
    CallHead head,
    Optional<Ticket> ticket,
    long deadlineNanos) {

  /** Returns the event that passes the request and its body to the router's decision. */
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

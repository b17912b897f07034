package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect.IssueTicket;
import dev.agatepier.core.process.RouterEvent.TicketRequested;
import dev.agatepier.core.process.internal.Admission.Refusal;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.Ticket;
import java.util.Optional;

/** Issues tickets, each bound to one incarnation of one sidecar. */
public final class TicketIssuer {

  private final RouterState state;
  private final Admission admission;

  /** Creates an issuer that applies the access rules of {@code admission}. */
  public TicketIssuer(RouterState state, Admission admission) {
    this.state = state;
    this.admission = admission;
  }

  /** Issues a ticket, or refuses the request and reports the reason. */
  public void issue(TicketRequested wanted) {
    Optional<Refusal> refusal = admission.checkAccess(wanted.workspace(), wanted.service());
    Optional<ConnectedSidecar> home = state.sidecars.ticketHome(wanted.service(), wanted.request());
    if (refusal.isPresent() || home.isEmpty()) {
      Refusal reason = refusal.orElse(new Refusal(Reason.NO_UPSTREAM, 0));
      admission.refuse(wanted, reason);
      return;
    }
    ConnectedSidecar sidecar = home.get();
    Ticket ticket =
        new Ticket(
            wanted.workspace(),
            wanted.service(),
            sidecar.name(),
            sidecar.peer.incarnation(),
            sidecar.clockMillis.getAsLong(),
            wanted.request());
    state.outbox.add(new IssueTicket(wanted.request(), ticket));
  }
}

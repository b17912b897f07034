package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records every ticket under which a request ran, until the ticket has expired by the clock of this
 * process. Responses are stored with it, up to a limit of bytes; the oldest are discarded first.
 */
final class TicketStore {

  /** The decision about a ticketed attempt. */
  sealed interface TicketAdmission {

    /** The request has not run before. */
    record Run(TicketEntry entry) implements TicketAdmission {}

    /** The request has completed, and its response is stored. */
    record Replay(TicketEntry entry) implements TicketAdmission {}

    /** The attempt fails, which implies nothing about whether the request ran before. */
    record Fail(Reason reason) implements TicketAdmission {}
  }

  private final PeerIdentity self;
  private final SidecarPolicy policy;
  private final Map<RequestId, TicketEntry> entries = new LinkedHashMap<>();
  private long storedBytes;

  TicketStore(PeerIdentity self, SidecarPolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  /** Decides about an attempt under a ticket, without changing any state. */
  TicketAdmission admit(StartAttempt start, Ticket ticket, long nowMillis) {
    if (!ticket.sidecar().equals(self.instance()) || ticket.incarnation() != self.incarnation()) {
      return new TicketAdmission.Fail(Reason.TICKET_HOME_GONE);
    }
    if (!ticket.workspace().equals(start.workspace())
        || !ticket.service().equals(self.service())
        || ticket.issuedMillis() > nowMillis) {
      return new TicketAdmission.Fail(Reason.TICKET_INVALID);
    }
    if (nowMillis - ticket.issuedMillis() > policy.ticketMillis()) {
      return new TicketAdmission.Fail(Reason.TICKET_EXPIRED);
    }
    TicketEntry entry = entries.get(ticket.request());
    if (entry == null) {
      return new TicketAdmission.Run(new TicketEntry(ticket.issuedMillis(), start.fingerprint()));
    }
    return entry.fingerprint.equals(start.fingerprint())
        ? admitRepeated(entry)
        : new TicketAdmission.Fail(Reason.TICKET_INVALID);
  }

  private static TicketAdmission admitRepeated(TicketEntry entry) {
    return switch (entry.state) {
      case RUNNING -> new TicketAdmission.Fail(Reason.TICKET_IN_PROGRESS);
      case FAILED -> new TicketAdmission.Fail(Reason.UPSTREAM_FAILED);
      case COMPLETED ->
          entry.discarded
              ? new TicketAdmission.Fail(Reason.TICKET_ANSWER_FORGOTTEN)
              : new TicketAdmission.Replay(entry);
    };
  }

  /** Records that the request of a ticket is about to run. */
  void recordStart(Ticket ticket, TicketEntry entry) {
    entries.put(ticket.request(), entry);
  }

  /** Removes a ticket whose request is proven not to have run, so that it may run later. */
  void remove(Ticket ticket, TicketEntry entry) {
    discard(entry);
    entries.remove(ticket.request());
  }

  /** Stores the head of the response. */
  void recordHead(TicketEntry entry, ResponseHead head) {
    entry.head = head;
  }

  /** Stores part of the response, unless the limit of bytes does not allow it. */
  void recordContent(TicketEntry entry, Bytes content) {
    if (entry.discarded) {
      return;
    }
    entry.frames.add(content);
    entry.bytes += content.size();
    storedBytes += content.size();
    enforceLimit(entry);
  }

  /** Records that the response is complete. */
  void recordCompletion(TicketEntry entry) {
    entry.state = TicketEntry.State.COMPLETED;
  }

  /** Records that the request ran without a complete response. */
  void recordFailure(TicketEntry entry) {
    entry.state = TicketEntry.State.FAILED;
    discard(entry);
  }

  /** Drops expired tickets, except those whose request is still running. */
  void expire(long nowMillis) {
    List<RequestId> expired = new ArrayList<>();
    entries.forEach(
        (request, entry) -> {
          boolean expiredNow = nowMillis - entry.issuedMillis > policy.ticketMillis();
          if (expiredNow && entry.state != TicketEntry.State.RUNNING) {
            expired.add(request);
          }
        });
    for (RequestId request : expired) {
      discard(entries.remove(request));
    }
  }

  private void enforceLimit(TicketEntry newest) {
    for (TicketEntry entry : entries.values()) {
      if (storedBytes <= policy.rememberedBytes()) {
        return;
      }
      if (entry != newest && entry.state == TicketEntry.State.COMPLETED) {
        discard(entry);
      }
    }
    if (storedBytes > policy.rememberedBytes()) {
      discard(newest);
    }
  }

  private void discard(TicketEntry entry) {
    storedBytes -= entry.bytes;
    entry.bytes = 0;
    entry.frames = new ArrayList<>();
    entry.discarded = true;
  }
}

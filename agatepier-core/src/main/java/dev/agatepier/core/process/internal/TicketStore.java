package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers every ticket under which a request ran, until the ticket has expired by this process's
 * own clock. Answers are remembered beside it, within a bound of bytes; the oldest go first.
 */
final class TicketStore {

  /** What is to be done with a ticketed attempt. */
  sealed interface TicketAdmission {

    /** The request did not run before. */
    record Run(TicketEntry entry) implements TicketAdmission {}

    /** The request ran and its answer is remembered. */
    record Replay(TicketEntry entry) implements TicketAdmission {}

    /** The attempt fails; nothing is said about whether the request ran before. */
    record Fail(Reason reason) implements TicketAdmission {}
  }

  private final PeerIdentity self;
  private final SidecarPolicy policy;
  private final Map<RequestId, TicketEntry> entries = new LinkedHashMap<>();
  private long rememberedBytes;

  TicketStore(PeerIdentity self, SidecarPolicy policy) {
    this.self = self;
    this.policy = policy;
  }

  /** Judges an attempt under a ticket, and changes nothing. */
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
        ? admitAgain(entry)
        : new TicketAdmission.Fail(Reason.TICKET_INVALID);
  }

  private static TicketAdmission admitAgain(TicketEntry entry) {
    return switch (entry.state) {
      case RUNNING -> new TicketAdmission.Fail(Reason.TICKET_IN_PROGRESS);
      case FAILED -> new TicketAdmission.Fail(Reason.UPSTREAM_FAILED);
      case COMPLETED ->
          entry.discarded
              ? new TicketAdmission.Fail(Reason.TICKET_ANSWER_FORGOTTEN)
              : new TicketAdmission.Replay(entry);
    };
  }

  /** Notes that the request of a ticket is about to run. */
  void recordStart(Ticket ticket, TicketEntry entry) {
    entries.put(ticket.request(), entry);
  }

  /** Notes that the run of a ticket is proven not to have happened, so that it may run later. */
  void remove(Ticket ticket, TicketEntry entry) {
    forget(entry);
    entries.remove(ticket.request());
  }

  /** Remembers the head of the answer. */
  void recordHead(TicketEntry entry, ResponseHead head) {
    entry.head = head;
  }

  /** Remembers part of the answer, if there is room for it. */
  void recordContent(TicketEntry entry, Bytes content) {
    if (entry.discarded) {
      return;
    }
    entry.frames.add(content);
    entry.bytes += content.size();
    rememberedBytes += content.size();
    makeRoom(entry);
  }

  /** Notes that the answer is whole. */
  void recordCompletion(TicketEntry entry) {
    entry.state = TicketEntry.State.COMPLETED;
  }

  /** Notes that the request ran and has no whole answer. */
  void recordFailure(TicketEntry entry) {
    entry.state = TicketEntry.State.FAILED;
    forget(entry);
  }

  /** Drops the tickets that have expired. */
  void expire(long nowMillis) {
    List<RequestId> expired = new ArrayList<>();
    entries.forEach(
        (request, entry) -> {
          boolean over = nowMillis - entry.issuedMillis > policy.ticketMillis();
          if (over && entry.state != TicketEntry.State.RUNNING) {
            expired.add(request);
          }
        });
    for (RequestId request : expired) {
      forget(entries.remove(request));
    }
  }

  private void makeRoom(TicketEntry newest) {
    for (TicketEntry entry : entries.values()) {
      if (rememberedBytes <= policy.rememberedBytes()) {
        return;
      }
      if (entry != newest && entry.state == TicketEntry.State.COMPLETED) {
        forget(entry);
      }
    }
    if (rememberedBytes > policy.rememberedBytes()) {
      forget(newest);
    }
  }

  private void forget(TicketEntry entry) {
    rememberedBytes -= entry.bytes;
    entry.bytes = 0;
    entry.frames = new ArrayList<>();
    entry.discarded = true;
  }
}

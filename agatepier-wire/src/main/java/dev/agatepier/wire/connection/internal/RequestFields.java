package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.List;
import java.util.Optional;

/** Fields that several messages about requests share. */
final class RequestFields {

  private RequestFields() {}

  static void writeRequest(RequestId request, FieldOutput output) {
    output.text(request.router());
    output.number(request.incarnation());
    output.number(request.number());
  }

  static RequestId readRequest(FieldInput input) {
    return new RequestId(input.text(), input.number(), input.number());
  }

  static void writeAttempt(AttemptId attempt, FieldOutput output) {
    writeRequest(attempt.request(), output);
    output.integer(attempt.number());
  }

  static AttemptId readAttempt(FieldInput input) {
    return new AttemptId(readRequest(input), input.integer());
  }

  static void writeFingerprint(Fingerprint fingerprint, FieldOutput output) {
    output.text(fingerprint.workspace());
    output.text(fingerprint.service());
    output.text(fingerprint.contentDigest());
  }

  static Fingerprint readFingerprint(FieldInput input) {
    return new Fingerprint(input.text(), input.text(), input.text());
  }

  static void writeHeaders(List<Header> headers, FieldOutput output) {
    output.list(
        headers,
        (target, header) -> {
          target.text(header.name());
          target.text(header.value());
        });
  }

  static List<Header> readHeaders(FieldInput input) {
    return input.list(source -> new Header(source.text(), source.text()));
  }

  static void writeCall(CallHead head, FieldOutput output) {
    output.text(head.method());
    output.text(head.path());
    writeHeaders(head.headers(), output);
  }

  static CallHead readCall(FieldInput input) {
    return new CallHead(input.text(), input.text(), readHeaders(input));
  }

  static void writeTicket(Optional<Ticket> ticket, FieldOutput output) {
    output.list(ticket.stream().toList(), RequestFields::writeOneTicket);
  }

  static Optional<Ticket> readTicket(FieldInput input) {
    List<Ticket> tickets = input.list(RequestFields::readOneTicket);
    if (tickets.size() > 1) {
      throw new IllegalArgumentException("a call has at most one ticket");
    }
    return tickets.stream().findFirst();
  }

  private static void writeOneTicket(FieldOutput output, Ticket ticket) {
    output.text(ticket.workspace());
    output.text(ticket.service());
    output.text(ticket.sidecar());
    output.number(ticket.incarnation());
    output.number(ticket.issuedMillis());
    writeRequest(ticket.request(), output);
  }

  private static Ticket readOneTicket(FieldInput input) {
    return new Ticket(
        input.text(),
        input.text(),
        input.text(),
        input.number(),
        input.number(),
        readRequest(input));
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.List;
import java.util.Optional;

/** Encodes fields shared by several messages about requests. */
final class RequestFields {

  private RequestFields() {}

  static void writeRequest(RequestId request, FieldOutput output) {
    output.writeString(request.router());
    output.writeLong(request.incarnation());
    output.writeLong(request.number());
  }

  static RequestId readRequest(FieldInput input) {
    return new RequestId(input.readString(), input.readLong(), input.readLong());
  }

  static void writeAttempt(AttemptId attempt, FieldOutput output) {
    writeRequest(attempt.request(), output);
    output.writeInt(attempt.number());
  }

  static AttemptId readAttempt(FieldInput input) {
    return new AttemptId(readRequest(input), input.readInt());
  }

  static void writeFingerprint(Fingerprint fingerprint, FieldOutput output) {
    output.writeString(fingerprint.workspace());
    output.writeString(fingerprint.service());
    output.writeString(fingerprint.contentDigest());
  }

  static Fingerprint readFingerprint(FieldInput input) {
    return new Fingerprint(input.readString(), input.readString(), input.readString());
  }

  static void writeHeaders(List<Header> headers, FieldOutput output) {
    output.writeList(
        headers,
        (target, header) -> {
          target.writeString(header.name());
          target.writeString(header.value());
        });
  }

  static List<Header> readHeaders(FieldInput input) {
    return input.readList(source -> new Header(source.readString(), source.readString()));
  }

  static void writeCall(CallHead head, FieldOutput output) {
    output.writeString(head.method());
    output.writeString(head.path());
    writeHeaders(head.headers(), output);
  }

  static CallHead readCall(FieldInput input) {
    return new CallHead(input.readString(), input.readString(), readHeaders(input));
  }

  static void writeTicket(Optional<Ticket> ticket, FieldOutput output) {
    output.writeList(ticket.stream().toList(), RequestFields::writeOneTicket);
  }

  static Optional<Ticket> readTicket(FieldInput input) {
    List<Ticket> tickets = input.readList(RequestFields::readOneTicket);
    if (tickets.size() > 1) {
      throw new IllegalArgumentException(
          "field ticket holds " + tickets.size() + " elements, more than 1");
    }
    return tickets.stream().findFirst();
  }

  private static void writeOneTicket(FieldOutput output, Ticket ticket) {
    output.writeString(ticket.workspace());
    output.writeString(ticket.service());
    output.writeString(ticket.sidecar());
    output.writeLong(ticket.incarnation());
    output.writeLong(ticket.issuedMillis());
    writeRequest(ticket.request(), output);
  }

  private static Ticket readOneTicket(FieldInput input) {
    return new Ticket(
        input.readString(),
        input.readString(),
        input.readString(),
        input.readLong(),
        input.readLong(),
        readRequest(input));
  }
}

package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.ReasonText;
import dev.agatepier.wire.request.TicketCodec;
import dev.agatepier.wire.request.TicketException;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import reactor.netty.http.server.HttpServerRequest;

/** Validates and parses the heads of callers' requests. */
public final class CallParser {

  private static final String DEADLINE_HEADER = "agatepier-deadline-millis";
  private static final String TICKET_HEADER = "agatepier-ticket";

  private final Supplier<Table> activeTable;
  private final TicketCodec tickets;
  private final MonotonicClock clock;

  /**
   * Creates the parser.
   *
   * @param activeTable supplies the active table; its version is 0 if there is none yet
   * @param tickets decodes tickets
   * @param clock the process's monotonic clock
   */
  public CallParser(Supplier<Table> activeTable, TicketCodec tickets, MonotonicClock clock) {
    this.activeTable = activeTable;
    this.tickets = tickets;
    this.clock = clock;
  }

  /** Parses the head of a request; fails with {@link CallRejectedException} if it is not valid. */
  public ParsedCall parse(HttpServerRequest request) {
    // Responses are chunked and end with a trailer that marks them as complete; HTTP/1.0 has
    // neither.
    if (!request.version().equals(HttpVersion.HTTP_1_1)) {
      throw new CallRejectedException(
          Reason.BAD_REQUEST, "an answer is marked whole in HTTP/1.1 only");
    }
    Table table = activeTable.get();
    if (table.version() == 0) {
      throw new CallRejectedException(Reason.NOT_READY, ReasonText.of(Reason.NOT_READY));
    }
    HttpHeaders headers = request.requestHeaders();
    Workspace workspace = KeyAuthenticator.authenticate(table, headers.getAll("authorization"));
    String method = request.method().name();
    CallTarget target = CallTarget.parse(method, request.uri());
    ServiceEntry service = findService(table, workspace, target.service());
    return new ParsedCall(
        target,
        workspace.name(),
        new CallHead(method, target.path(), ForwardableHeaders.of(headers)),
        parseTicket(headers, workspace, service),
        clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(parseDeadlineMillis(headers, service)));
  }

  private static ServiceEntry findService(Table table, Workspace workspace, String name) {
    ServiceEntry service =
        table
            .service(name)
            .orElseThrow(
                () ->
                    new CallRejectedException(
                        Reason.SERVICE_UNKNOWN, ReasonText.of(Reason.SERVICE_UNKNOWN)));
    if (!workspace.services().contains(name)) {
      throw new CallRejectedException(
          Reason.SERVICE_NOT_ALLOWED, ReasonText.of(Reason.SERVICE_NOT_ALLOWED));
    }
    return service;
  }

  private static long parseDeadlineMillis(HttpHeaders headers, ServiceEntry service) {
    String value = headers.get(DEADLINE_HEADER);
    if (value == null) {
      return service.deadlineMillis();
    }
    try {
      long millis = Long.parseLong(value.strip());
      if (millis > 0) {
        return Math.min(millis, service.deadlineMillis());
      }
    } catch (NumberFormatException malformed) {
      throw new CallRejectedException(
          Reason.BAD_REQUEST, "the deadline is no number of milliseconds");
    }
    throw new CallRejectedException(Reason.BAD_REQUEST, "the deadline is below 1 ms");
  }

  private Optional<Ticket> parseTicket(
      HttpHeaders headers, Workspace workspace, ServiceEntry service) {
    String text = headers.get(TICKET_HEADER);
    if (text == null) {
      return Optional.empty();
    }
    try {
      Ticket ticket = tickets.decode(text);
      if (ticket.workspace().equals(workspace.name()) && ticket.service().equals(service.name())) {
        return Optional.of(ticket);
      }
    } catch (TicketException invalid) {
      throw new CallRejectedException(Reason.TICKET_INVALID, invalid.getMessage());
    }
    throw new CallRejectedException(
        Reason.TICKET_INVALID, "the ticket is for another workspace or service");
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Simulated callers that disconnect, resend under tickets through any router, and record the
 * responses.
 */
final class VirtualCallers {

  private static final int RESEND_PAUSE_MILLIS = 200;

  final Map<RequestId, VirtualCall> calls = new HashMap<>();
  private final Map<Ticket, List<String>> ticketRuns = new HashMap<>();
  private final Map<Ticket, Long> ticketRanMillis = new HashMap<>();
  private final SimulatedFleet fleet;
  private long count;

  /** A call and the response that its caller received. */
  static final class VirtualCall {
    VirtualRouter router;
    CallArrived call;
    long arrivedMillis;
    int resends;
    int responseStarts;
    String end = "";
    Reason reason;
    final StringBuilder response = new StringBuilder();
  }

  VirtualCallers(SimulatedFleet fleet) {
    this.fleet = fleet;
  }

  /** Makes an ordinary call, or requests a ticket for later calls. */
  void callOrRequestTicket() {
    VirtualRouter router = fleet.anyRouter();
    if (fleet.time.chance(0.4)) {
      RequestId request = newRequest(router);
      router.execute(
          router.incarnation(),
          () ->
              router.dispatch(
                  new RouterEvent.TicketRequested(request, "w", RouterFixture.SERVICE)));
    } else {
      String method = fleet.time.chance(0.5) ? "GET" : "POST";
      call(router, method, "body" + count, Optional.empty(), 0);
    }
  }

  void call(
      VirtualRouter router, String method, String body, Optional<Ticket> ticket, int resends) {
    VirtualCall call = new VirtualCall();
    RequestId request = newRequest(router);
    call.router = router;
    call.resends = resends;
    call.arrivedMillis = fleet.time.nowMillis();
    call.call =
        new CallArrived(
            request,
            "w",
            RouterFixture.SERVICE,
            new CallHead(method, "/", List.of()),
            Bytes.ofText(body),
            new Fingerprint("w", RouterFixture.SERVICE, body),
            ticket,
            router.clockNanos() + deadlineMillis() * RouterFixture.MILLI);
    calls.put(request, call);
    router.execute(router.incarnation(), () -> router.dispatch(call.call));
    if (fleet.faulty && fleet.time.chance(0.1)) {
      RouterEvent disconnected = new RouterEvent.CallerDisconnected(request);
      router.schedule(fleet.time.draw(300), () -> router.dispatch(disconnected));
    }
  }

  /** Applies a router effect to the caller that it concerns. */
  void onEffect(VirtualRouter router, RouterEffect effect) {
    switch (effect) {
      case RouterEffect.BeginResponse begin -> calls.get(begin.request()).responseStarts++;
      case RouterEffect.ContinueResponse part ->
          calls.get(part.request()).response.append(part.content().text());
      case RouterEffect.EndResponse end -> recordEnd(end.request(), Outcome.COMPLETED.code(), null);
      case RouterEffect.FailRequest fail ->
          recordEnd(fail.request(), fail.outcome().code(), fail.reason());
      case RouterEffect.IssueTicket issued -> callWithTicket(Optional.of(issued.ticket()));
      default -> fleet.violations.add(router.name + " has the unexpected effect " + effect);
    }
  }

  /** Ends the calls of a router process that has ended. */
  void onProcessEnd(VirtualNode node) {
    for (VirtualCall call : List.copyOf(calls.values())) {
      if (call.router == node && call.end.isEmpty()) {
        recordEnd(call.call.request(), "lost", null);
      }
    }
  }

  /** Records a run under the ticket of its request, and checks that a ticket has only one run. */
  void recordRun(RequestId request, String response) {
    Optional<Ticket> ticket = calls.get(request).call.ticket();
    if (ticket.isPresent()) {
      List<String> runs = ticketRuns.computeIfAbsent(ticket.get(), key -> new ArrayList<>());
      runs.add(response);
      ticketRanMillis.putIfAbsent(ticket.get(), fleet.time.nowMillis());
      if (runs.size() > 1) {
        fleet.violations.add(request + " ran again under " + ticket.get());
      }
    }
  }

  /** Returns the complete responses that are correct for a call. */
  List<String> validResponses(CallArrived call) {
    return call.ticket()
        .map(ticket -> ticketRuns.getOrDefault(ticket, List.of()))
        .orElse(fleet.runs.getOrDefault(call.request(), List.of()));
  }

  private void callWithTicket(Optional<Ticket> ticket) {
    String body = "order" + count;
    call(fleet.anyRouter(), "POST", body, ticket, 0);
    if (fleet.time.chance(0.3)) {
      fleet.time.after(
          fleet.time.draw(500), () -> call(fleet.anyRouter(), "POST", body, ticket, 0));
    }
  }

  private void recordEnd(RequestId request, String end, Reason reason) {
    VirtualCall ended = calls.get(request);
    if (ended == null) {
      return;
    }
    if (!ended.end.isEmpty()) {
      fleet.violations.add(request + " ended twice: " + ended.end + ", " + end);
    }
    ended.end = end;
    ended.reason = reason;
    Optional<Ticket> ticket = ended.call.ticket();
    long ranMillis = ticket.map(ticketRanMillis::get).orElse(Long.MAX_VALUE);
    if (end.equals(Outcome.NOT_RUN.code()) && ranMillis < ended.arrivedMillis) {
      fleet.violations.add(
          request + " reported not-run, but its ticket ran before the request arrived");
    }
    resend(ended);
  }

  private void resend(VirtualCall ended) {
    boolean crash = ended.call.body().text().startsWith(VirtualUpstream.CRASH);
    boolean ticketed = ended.call.ticket().isPresent() && fleet.time.chance(0.7);
    if ((crash || ticketed)
        && ended.resends < 8
        && fleet.time.nowMillis() < SimulatedFleet.FAULTS_MILLIS) {
      CallArrived call = ended.call;
      fleet.time.after(
          RESEND_PAUSE_MILLIS + fleet.time.draw(200),
          () ->
              call(
                  fleet.anyRouter(),
                  call.head().method(),
                  call.body().text(),
                  call.ticket(),
                  ended.resends + 1));
    }
  }

  private long deadlineMillis() {
    return fleet.faulty ? 500 + fleet.time.draw(2_500) : RouterFixture.DEADLINE_MILLIS;
  }

  private RequestId newRequest(VirtualRouter router) {
    return new RequestId(router.name, router.incarnation(), ++count);
  }
}

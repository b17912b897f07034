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

/** Callers that hang up, resend under tickets through any router, and note what they were told. */
final class VirtualCallers {

  private static final int RESEND_PAUSE_MILLIS = 200;

  final Map<RequestId, VirtualCall> calls = new HashMap<>();
  private final Map<Ticket, List<String>> ticketRuns = new HashMap<>();
  private final Map<Ticket, Long> ticketRanMillis = new HashMap<>();
  private final SimulatedFleet fleet;
  private long count;

  /** One call and what its caller saw. */
  static final class VirtualCall {
    VirtualRouter router;
    CallArrived call;
    long arrivedMillis;
    int resends;
    int begins;
    String end = "";
    Reason reason;
    final StringBuilder answer = new StringBuilder();
  }

  VirtualCallers(SimulatedFleet fleet) {
    this.fleet = fleet;
  }

  /** Has an ordinary call made, or a ticket asked for to make calls with. */
  void ordinary() {
    VirtualRouter router = fleet.anyRouter();
    if (fleet.time.chance(0.4)) {
      RequestId request = newRequest(router);
      router.act(
          router.incarnation(),
          () -> router.tell(new RouterEvent.TicketRequested(request, "w", RouterFixture.SERVICE)));
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
    router.act(router.incarnation(), () -> router.tell(call.call));
    if (fleet.faulty && fleet.time.chance(0.1)) {
      RouterEvent gone = new RouterEvent.CallerDisconnected(request);
      router.later(fleet.time.draw(300), () -> router.tell(gone));
    }
  }

  /** Takes an effect that concerns a caller. */
  void answered(VirtualRouter router, RouterEffect effect) {
    switch (effect) {
      case RouterEffect.BeginResponse begin -> calls.get(begin.request()).begins++;
      case RouterEffect.ContinueResponse part ->
          calls.get(part.request()).answer.append(part.content().text());
      case RouterEffect.EndResponse end -> ended(end.request(), Outcome.COMPLETED.code(), null);
      case RouterEffect.FailRequest fail ->
          ended(fail.request(), fail.outcome().code(), fail.reason());
      case RouterEffect.IssueTicket issued -> ticketed(Optional.of(issued.ticket()));
      default -> fleet.violations.add(router.name + " asked for " + effect);
    }
  }

  /** Breaks the connections of the callers of a router that is gone. */
  void processEnded(VirtualNode node) {
    for (VirtualCall call : List.copyOf(calls.values())) {
      if (call.router == node && call.end.isEmpty()) {
        ended(call.call.request(), "lost", null);
      }
    }
  }

  /** Notes under which ticket a request ran. */
  void ran(RequestId request, String answer) {
    Optional<Ticket> ticket = calls.get(request).call.ticket();
    if (ticket.isPresent()) {
      List<String> runs = ticketRuns.computeIfAbsent(ticket.get(), key -> new ArrayList<>());
      runs.add(answer);
      ticketRanMillis.putIfAbsent(ticket.get(), fleet.time.nowMillis());
      if (runs.size() > 1) {
        fleet.violations.add(request + " ran again under " + ticket.get());
      }
    }
  }

  /** Returns the whole answers that would be true ones to a call. */
  List<String> answersTo(CallArrived call) {
    return call.ticket()
        .map(ticket -> ticketRuns.getOrDefault(ticket, List.of()))
        .orElse(fleet.record.getOrDefault(call.request(), List.of()));
  }

  private void ticketed(Optional<Ticket> ticket) {
    String body = "order" + count;
    call(fleet.anyRouter(), "POST", body, ticket, 0);
    if (fleet.time.chance(0.3)) {
      fleet.time.after(
          fleet.time.draw(500), () -> call(fleet.anyRouter(), "POST", body, ticket, 0));
    }
  }

  private void ended(RequestId request, String end, Reason reason) {
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
      fleet.violations.add(request + " not run, but its ticket ran before it arrived");
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

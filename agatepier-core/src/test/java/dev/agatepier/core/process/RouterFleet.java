package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.StartAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Limits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/** Two routers and three sidecars in virtual time, with faults that a seed decides. */
final class RouterFleet {

  private static final long FAULTS_MILLIS = 4_000;
  private static final long END_MILLIS = 12_000;
  private static final int CALLS = 60;

  final Map<RequestId, FakeCall> calls = new HashMap<>();
  final Map<RequestId, Integer> runs = new HashMap<>();
  final Map<Ticket, Long> ticketRuns = new HashMap<>();
  final List<String> faults = new ArrayList<>();
  final List<RouterDecision> routers = new ArrayList<>();
  private final Map<RequestId, List<String>> made = new HashMap<>();
  private final Map<Ticket, List<String>> madeForTicket = new HashMap<>();
  private final List<FakeSidecar> sidecars = new ArrayList<>();
  private final boolean[][] up = new boolean[2][3];
  private final long[][] lastDelivery = new long[4][3];
  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final Random random;
  private long nowMillis;
  private long actionCount;
  private long requestCount;

  private record Action(long atMillis, long number, Runnable body) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  /** What a caller saw. */
  static final class FakeCall {
    CallArrived call;
    long arrivedMillis;
    int begins;
    String end = "";
    final StringBuilder answer = new StringBuilder();
  }

  RouterFleet(long seed) {
    random = new Random(seed);
    for (int router = 0; router < 2; router++) {
      routers.add(new RouterDecision(RouterFixture.router("r" + router), RouterPolicy.DEFAULT));
      tell(router, new RouterEvent.TableInForce(RouterFixture.table(new Limits(9, 5, 0), 1)));
    }
    for (int sidecar = 0; sidecar < 3; sidecar++) {
      sidecars.add(new FakeSidecar(this, "s" + sidecar));
      link(0, sidecar);
      link(1, sidecar);
    }
    for (int call = 0; call < CALLS; call++) {
      after(draw((int) FAULTS_MILLIS), this::call);
    }
    for (int fault = 0; fault < 12; fault++) {
      after(draw((int) FAULTS_MILLIS), this::fault);
    }
    for (int tick = 0; tick < END_MILLIS; tick += 25) {
      after(tick, () -> tell(0, new RouterEvent.TimePassed()));
      after(tick, () -> tell(1, new RouterEvent.TimePassed()));
    }
  }

  void run() {
    while (!actions.isEmpty()) {
      Action action = actions.poll();
      nowMillis = action.atMillis();
      action.body().run();
    }
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  int draw(int bound) {
    return random.nextInt(bound);
  }

  void after(long millis, Runnable body) {
    actions.add(new Action(nowMillis + millis, ++actionCount, body));
  }

  void toRouter(FakeSidecar from, int router, LinkMessage message) {
    int sidecar = sidecars.indexOf(from);
    PeerIdentity peer = from.peer();
    if (!up[router][sidecar] || chance(0.01)) {
      return;
    }
    RouterEvent event = new RouterEvent.MessageArrived(peer, message);
    deliver(router, sidecar, () -> tell(router, event));
    if (chance(0.05)) {
      after(draw(800), () -> tell(router, event));
    }
  }

  /** Notes that an upstream was handed an attempt, and the whole answer that it would give. */
  void ran(StartAttempt start, String answer) {
    runs.merge(start.attempt().request(), 1, Integer::sum);
    made.computeIfAbsent(start.attempt().request(), id -> new ArrayList<>()).add(answer);
    start
        .ticket()
        .ifPresent(
            ticket -> {
              if (ticketRuns.put(ticket, nowMillis) != null) {
                faults.add("ran twice under " + ticket);
              }
              madeForTicket.computeIfAbsent(ticket, key -> new ArrayList<>()).add(answer);
            });
  }

  /** Returns the whole answers that would be true ones to a call. */
  List<String> answersTo(CallArrived call) {
    return call.ticket()
        .map(ticket -> madeForTicket.getOrDefault(ticket, List.of()))
        .orElse(made.getOrDefault(call.request(), List.of()));
  }

  private void deliver(int direction, int sidecar, Runnable body) {
    long at = Math.max(nowMillis + 1 + draw(30), lastDelivery[direction][sidecar]);
    lastDelivery[direction][sidecar] = at;
    after(at - nowMillis, body);
  }

  private void toSidecar(int router, int sidecar, Runnable body) {
    FakeSidecar target = sidecars.get(sidecar);
    long incarnation = target.peer().incarnation();
    deliver(2 + router, sidecar, () -> target.act(incarnation, body));
  }

  private void tell(int router, RouterEvent event) {
    for (RouterEffect effect : routers.get(router).decide(event, nowMillis * 1_000_000)) {
      carryOut(router, effect);
    }
  }

  private void carryOut(int router, RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send send -> {
        int sidecar = Integer.parseInt(send.instance().substring(1));
        if (up[router][sidecar]) {
          FakeSidecar target = sidecars.get(sidecar);
          toSidecar(router, sidecar, () -> target.arrived(router, send.message()));
        }
      }
      case RouterEffect.BeginAnswer begin -> calls.get(begin.request()).begins++;
      case RouterEffect.ContinueAnswer part ->
          calls.get(part.request()).answer.append(part.content().text());
      case RouterEffect.EndAnswer end -> ended(end.request(), Outcome.COMPLETED);
      case RouterEffect.FailRequest fail -> ended(fail.request(), fail.outcome());
      case RouterEffect.IssueTicket issued -> {
        Optional<Ticket> ticket = Optional.of(issued.ticket());
        call(draw(2), "POST", ticket);
        if (chance(0.3)) {
          after(draw(500), () -> call(draw(2), "POST", ticket));
        }
      }
      case RouterEffect.Drained drained -> faults.add("drained");
    }
  }

  private void ended(RequestId request, Outcome outcome) {
    FakeCall ended = calls.get(request);
    if (ended == null) {
      return;
    }
    if (!ended.end.isEmpty()) {
      faults.add(request + " ended twice");
    }
    ended.end = outcome.code();
    Optional<Ticket> ticket = ended.call.ticket();
    boolean resend = nowMillis < FAULTS_MILLIS && chance(0.7);
    if (ticket.isPresent()) {
      long ranMillis = ticketRuns.getOrDefault(ticket.get(), Long.MAX_VALUE);
      if (outcome == Outcome.NOT_RUN && ranMillis < ended.arrivedMillis) {
        faults.add(request + " not run, but its ticket ran before it arrived");
      }
      if (resend) {
        after(draw(200), () -> call(draw(2), "POST", ticket));
      }
    }
  }

  private void call() {
    int router = draw(2);
    if (chance(0.3)) {
      tell(router, new RouterEvent.TicketWanted(newRequest(router), "w", RouterFixture.SERVICE));
    } else {
      call(router, chance(0.5) ? "GET" : "POST", Optional.empty());
    }
  }

  private void call(int router, String method, Optional<Ticket> ticket) {
    FakeCall call = new FakeCall();
    RequestId request = newRequest(router);
    String workspace = ticket.isPresent() || chance(0.5) ? "w" : "v";
    call.arrivedMillis = nowMillis;
    call.call =
        new CallArrived(
            request,
            workspace,
            RouterFixture.SERVICE,
            new CallHead(method, "/", List.of()),
            Bytes.ofText("body" + draw(9)),
            new Fingerprint(workspace, RouterFixture.SERVICE, request.toString()),
            ticket,
            (nowMillis + 50 + draw(1_500)) * 1_000_000);
    calls.put(request, call);
    tell(router, call.call);
    if (chance(0.1)) {
      after(draw(300), () -> tell(router, new RouterEvent.CallerGone(request)));
    }
  }

  private RequestId newRequest(int router) {
    return new RequestId("r" + router, 1, ++requestCount);
  }

  private void fault() {
    int sidecar = draw(3);
    FakeSidecar target = sidecars.get(sidecar);
    switch (draw(4)) {
      case 0 -> {
        cut(0, sidecar);
        cut(1, sidecar);
        target.restart();
      }
      case 1 -> {
        target.pause();
        after(100 + draw(1_500), target::wake);
        after(draw(1_000), () -> cut(draw(2), sidecar));
      }
      default -> cut(draw(2), sidecar);
    }
  }

  /** Cuts a link; what was sent before may still arrive. */
  private void cut(int router, int sidecar) {
    if (up[router][sidecar]) {
      up[router][sidecar] = false;
      FakeSidecar target = sidecars.get(sidecar);
      toSidecar(router, sidecar, () -> target.unlinked(router));
      tell(router, new RouterEvent.PeerUnlinked(target.peer()));
      after(50 + draw(500), () -> link(router, sidecar));
    }
  }

  private void link(int router, int sidecar) {
    FakeSidecar target = sidecars.get(sidecar);
    if (target.paused()) {
      after(100, () -> link(router, sidecar));
      return;
    }
    up[router][sidecar] = true;
    tell(router, new RouterEvent.PeerLinked(target.peer()));
    toRouter(target, router, new Heartbeat(1, 1, false, nowMillis));
  }
}

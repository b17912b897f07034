package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.AttemptContent;
import dev.agatepier.core.connection.LinkMessage.AttemptEnd;
import dev.agatepier.core.connection.LinkMessage.AttemptFailed;
import dev.agatepier.core.connection.LinkMessage.AttemptHead;
import dev.agatepier.core.connection.LinkMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage.AttemptWithdrawn;
import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.StartAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.AnswerHead;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.Ticket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A sidecar that keeps the rules of the link and whose upstream may fail. */
final class FakeSidecar {

  private static final int SLOTS = 2;

  /** What became of a ticket: no entry, running, a whole answer, or none that is remembered. */
  private static final List<String> RUNNING = List.of("running");

  private static final List<String> FORGOTTEN = List.of("forgotten");

  private final RouterFleet fleet;
  private final String name;
  private long incarnation;
  private boolean paused;
  private long grantCount;
  private int slots;
  private final Deque<Runnable> buffered = new ArrayDeque<>();
  private final Map<String, Integer> demand = new TreeMap<>();
  private final Map<Long, Integer> grants = new HashMap<>();
  private final Set<AttemptId> seen = new HashSet<>();
  private final Map<AttemptId, StartAttempt> running = new HashMap<>();
  private final Map<Ticket, List<String>> tickets = new HashMap<>();

  FakeSidecar(RouterFleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
    restart();
  }

  PeerIdentity peer() {
    return RouterFixture.sidecar(name, incarnation, "a1");
  }

  boolean paused() {
    return paused;
  }

  void pause() {
    paused = true;
  }

  void wake() {
    paused = false;
    while (!buffered.isEmpty()) {
      buffered.poll().run();
    }
  }

  /** Forgets everything. */
  void restart() {
    incarnation++;
    paused = false;
    slots = SLOTS;
    buffered.clear();
    demand.clear();
    grants.clear();
    seen.clear();
    running.clear();
    tickets.clear();
  }

  /** Runs an action now, when this process wakes, or never if it restarts before. */
  void act(long of, Runnable action) {
    if (of == incarnation) {
      if (paused) {
        buffered.add(action);
      } else {
        action.run();
      }
    }
  }

  void unlinked(int router) {
    demand.keySet().removeIf(key -> key.endsWith("@" + router));
    List.copyOf(grants.keySet()).stream()
        .filter(grant -> grants.get(grant) == router)
        .forEach(this::release);
    if (fleet.chance(0.5)) {
      List.copyOf(running.values()).stream()
          .filter(start -> start.attempt().request().router().equals("r" + router))
          .forEach(this::stop);
    }
  }

  void arrived(int router, LinkMessage message) {
    switch (message) {
      case DemandUpdate update ->
          update
              .changes()
              .forEach(change -> demand.put(change.workspace() + "@" + router, change.waiting()));
      case GrantDeclined declined -> release(declined.grantNumber());
      case StartAttempt start -> start(router, start);
      case AttemptWithdrawn withdrawn -> withdraw(router, withdrawn.attempt());
      default -> {}
    }
    grant();
  }

  private void grant() {
    List<String> waiting = new ArrayList<>(demand.keySet());
    waiting.removeIf(key -> demand.get(key) <= 0);
    while (slots > 0 && !waiting.isEmpty()) {
      String key = waiting.get(fleet.draw(waiting.size()));
      demand.merge(key, -1, Integer::sum);
      waiting.removeIf(other -> demand.get(other) <= 0);
      int at = key.indexOf('@');
      int router = Integer.parseInt(key.substring(at + 1));
      long number = ++grantCount;
      slots--;
      grants.put(number, router);
      fleet.toRouter(this, router, new Grant(number, key.substring(0, at)));
      later(1_000, () -> release(number));
    }
  }

  private void release(long grant) {
    if (grants.remove(grant) != null) {
      slots++;
    }
  }

  private void start(int router, StartAttempt start) {
    AttemptId attempt = start.attempt();
    if (!seen.add(attempt)) {
      return;
    }
    Ticket ticket = start.ticket().orElse(null);
    List<String> remembered = ticket == null ? null : tickets.get(ticket);
    boolean granted = grants.containsKey(start.grantNumber());
    if (ticket != null && ticket.incarnation() != incarnation) {
      refuse(router, start, new AttemptFailed(attempt, Reason.TICKET_HOME_GONE));
    } else if (remembered == RUNNING) {
      refuse(router, start, new AttemptFailed(attempt, Reason.TICKET_IN_PROGRESS));
    } else if (remembered == FORGOTTEN) {
      refuse(router, start, new AttemptFailed(attempt, Reason.TICKET_ANSWER_FORGOTTEN));
    } else if (remembered != null) {
      release(start.grantNumber());
      answer(router, start, remembered, 0);
    } else if (!granted || fleet.chance(0.1)) {
      refuse(router, start, new AttemptNotRun(attempt, Reason.DRAINING));
    } else {
      run(router, start);
    }
  }

  private void refuse(int router, StartAttempt start, LinkMessage refusal) {
    release(start.grantNumber());
    fleet.toRouter(this, router, refusal);
  }

  private void run(int router, StartAttempt start) {
    grants.remove(start.grantNumber());
    running.put(start.attempt(), start);
    start.ticket().ifPresent(ticket -> tickets.put(ticket, RUNNING));
    List<String> parts = new ArrayList<>();
    for (int part = fleet.draw(4); part > 0; part--) {
      parts.add(name + "." + incarnation + "/" + fleet.draw(1_000_000) + ";");
    }
    fleet.ran(start, String.join("", parts));
    int steps = parts.size() + 2;
    int failing = fleet.chance(0.1) ? fleet.draw(steps) : steps;
    step(router, start, parts, 0, failing);
  }

  /** Sends the head, each part and the end, one at a time, until the upstream fails. */
  private void step(int router, StartAttempt start, List<String> parts, int step, int failing) {
    later(
        5 + fleet.draw(60),
        () -> {
          if (!running.containsKey(start.attempt())) {
            return;
          }
          if (step == failing) {
            stop(start);
            fleet.toRouter(
                this, router, new AttemptFailed(start.attempt(), Reason.UPSTREAM_FAILED));
          } else if (step <= parts.size()) {
            frame(router, start, parts, step);
            step(router, start, parts, step + 1, failing);
          } else {
            finish(start, parts);
            frame(router, start, parts, step);
          }
          grant();
        });
  }

  private void answer(int router, StartAttempt start, List<String> parts, int step) {
    for (int next = step; next <= parts.size() + 1; next++) {
      frame(router, start, parts, next);
    }
  }

  private void frame(int router, StartAttempt start, List<String> parts, int step) {
    AttemptId attempt = start.attempt();
    LinkMessage message =
        step == 0
            ? new AttemptHead(attempt, new AnswerHead(200, List.of()))
            : step <= parts.size()
                ? new AttemptContent(attempt, step - 1, Bytes.ofText(parts.get(step - 1)))
                : new AttemptEnd(attempt, parts.size(), 1);
    fleet.toRouter(this, router, message);
  }

  private void finish(StartAttempt start, List<String> parts) {
    running.remove(start.attempt());
    slots++;
    start.ticket().ifPresent(ticket -> tickets.put(ticket, parts));
  }

  private void stop(StartAttempt start) {
    finish(start, FORGOTTEN);
  }

  private void withdraw(int router, AttemptId attempt) {
    StartAttempt start = running.get(attempt);
    if (start != null) {
      stop(start);
      fleet.toRouter(this, router, new AttemptFailed(attempt, Reason.WITHDRAWN));
    } else if (seen.add(attempt)) {
      fleet.toRouter(this, router, new AttemptNotRun(attempt, Reason.WITHDRAWN));
    }
  }

  private void later(long millis, Runnable action) {
    long of = incarnation;
    fleet.after(millis, () -> act(of, action));
  }
}

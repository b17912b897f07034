package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.Send;
import dev.agatepier.core.process.internal.AttemptHistory.Status;
import dev.agatepier.core.process.internal.OutstandingGrants.IssuedGrant;
import dev.agatepier.core.process.internal.TicketStore.TicketAdmission;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Reason;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Judges whether an attempt that a router sends is run, refused, failed or answered again. */
final class AttemptAdmission {
  private final Readiness readiness;
  private final SlotGranter granter;
  private final AttemptHistory marks;
  private final TicketStore tickets;
  private final RunningAttempts attempts;
  private final List<SidecarEffect> effects;
  private final Map<AttemptId, ResponseReplay> replays = new LinkedHashMap<>();

  AttemptAdmission(
      Readiness readiness,
      SlotGranter granter,
      AttemptHistory marks,
      TicketStore tickets,
      RunningAttempts attempts,
      List<SidecarEffect> effects) {
    this.readiness = readiness;
    this.granter = granter;
    this.marks = marks;
    this.tickets = tickets;
    this.attempts = attempts;
    this.effects = effects;
  }

  /** Returns the number of remembered answers being sent again. */
  int replayCount() {
    return replays.size();
  }

  /** Judges an attempt and acts on it. */
  void start(String router, StartAttempt start, long nowNanos) {
    Optional<IssuedGrant> grant = granter.onGrantUsed(start.grantNumber(), router, nowNanos);
    Status mark = marks.statusOf(start.attempt());
    if (mark != Status.NEW) {
      grant.ifPresent(granter::release);
      answerKnown(router, start.attempt(), mark);
      return;
    }
    long nowMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    Optional<TicketAdmission> ticketed =
        start.ticket().map(ticket -> tickets.admit(start, ticket, nowMillis));
    switch (ticketed.orElse(null)) {
      case null -> run(router, start, grant, Optional.empty(), nowNanos);
      case TicketAdmission.Run(TicketEntry entry) ->
          run(router, start, grant, Optional.of(entry), nowNanos);
      case TicketAdmission.Replay(TicketEntry entry) -> replay(router, start, grant, entry);
      case TicketAdmission.Fail(Reason reason) -> {
        grant.ifPresent(granter::release);
        marks.recordStatus(start.attempt(), Status.STARTED);
        effects.add(new Send(router, new AttemptFailed(start.attempt(), reason)));
      }
    }
  }

  /** Gives an answer that is sent again more room; returns whether there is one. */
  boolean credit(AttemptId id, long bytes) {
    ResponseReplay replay = replays.get(id);
    if (replay == null) {
      return false;
    }
    if (replay.send(bytes, effects)) {
      replays.remove(id);
    }
    return true;
  }

  /** Stops sending an answer again; returns whether there was one. */
  boolean withdraw(AttemptId id) {
    ResponseReplay replay = replays.remove(id);
    if (replay == null) {
      return false;
    }
    effects.add(new Send(replay.router, new AttemptFailed(id, Reason.WITHDRAWN)));
    return true;
  }

  /** Stops sending answers to a router that is gone. */
  void onRouterDisconnected(String router) {
    replays.values().removeIf(replay -> replay.router.equals(router));
  }

  private void run(
      String router,
      StartAttempt start,
      Optional<IssuedGrant> grant,
      Optional<TicketEntry> entry,
      long nowNanos) {
    Optional<Reason> refusal = refusal(start, grant);
    if (refusal.isPresent()) {
      grant.ifPresent(granter::release);
      marks.recordStatus(start.attempt(), Status.NEVER_RUN);
      effects.add(new Send(router, new AttemptNotRun(start.attempt(), refusal.get())));
      return;
    }
    double charged = grant.orElseThrow().estimate();
    attempts.admit(new RunningAttempt(start, router, charged, nowNanos, entry), nowNanos);
  }

  private Optional<Reason> refusal(StartAttempt start, Optional<IssuedGrant> grant) {
    if (grant.isEmpty() || !grant.get().workspace().equals(start.workspace())) {
      return Optional.of(Reason.NOT_READY);
    }
    if (start.timeLeftMillis() <= 0) {
      return Optional.of(Reason.DEADLINE);
    }
    if (attempts.exclusive()) {
      return Optional.of(Reason.NOT_READY);
    }
    return readiness.refusal();
  }

  private void replay(
      String router, StartAttempt start, Optional<IssuedGrant> grant, TicketEntry entry) {
    grant.ifPresent(granter::release);
    AttemptId id = start.attempt();
    marks.recordStatus(id, Status.STARTED);
    effects.add(new Send(router, new AttemptHead(id, entry.head)));
    ResponseReplay replay = new ResponseReplay(id, router, entry, start.windowBytes());
    if (!replay.send(0, effects)) {
      replays.put(id, replay);
    }
  }

  private void answerKnown(String router, AttemptId id, Status mark) {
    if (mark == Status.NEVER_RUN) {
      effects.add(new Send(router, new AttemptNotRun(id, Reason.WITHDRAWN)));
    } else if (mark == Status.EVICTED) {
      effects.add(new Send(router, new AttemptFailed(id, Reason.UPSTREAM_FAILED)));
    }
  }
}

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

/**
 * Decides whether an attempt received from a router is run, refused, failed, or served from a
 * stored response.
 */
final class AttemptAdmission {
  private final Readiness readiness;
  private final SlotGranter granter;
  private final AttemptHistory history;
  private final TicketStore tickets;
  private final RunningAttempts attempts;
  private final List<SidecarEffect> effects;
  private final Map<AttemptId, ResponseReplay> replays = new LinkedHashMap<>();

  AttemptAdmission(
      Readiness readiness,
      SlotGranter granter,
      AttemptHistory history,
      TicketStore tickets,
      RunningAttempts attempts,
      List<SidecarEffect> effects) {
    this.readiness = readiness;
    this.granter = granter;
    this.history = history;
    this.tickets = tickets;
    this.attempts = attempts;
    this.effects = effects;
  }

  /** Returns the number of stored responses that are being replayed. */
  int replayCount() {
    return replays.size();
  }

  /** Decides about an attempt and acts on it. An attempt that is already known is not run again. */
  void start(String router, StartAttempt start, long nowNanos) {
    Optional<IssuedGrant> grant = granter.onGrantUsed(start.grantNumber(), router, nowNanos);
    Status status = history.statusOf(start.attempt());
    if (status != Status.NEW) {
      grant.ifPresent(granter::release);
      replyToKnown(router, start.attempt(), status);
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
        history.recordStatus(start.attempt(), Status.STARTED);
        effects.add(new Send(router, new AttemptFailed(start.attempt(), reason)));
      }
    }
  }

  /** Adds credit to the replay of a response; returns whether the attempt has one. */
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

  /** Cancels the replay of a response; returns whether the attempt had one. */
  boolean withdraw(AttemptId id) {
    ResponseReplay replay = replays.remove(id);
    if (replay == null) {
      return false;
    }
    effects.add(new Send(replay.router, new AttemptFailed(id, Reason.WITHDRAWN)));
    return true;
  }

  /** Cancels all replays to a router whose link was lost. */
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
      history.recordStatus(start.attempt(), Status.NEVER_RUN);
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
    history.recordStatus(id, Status.STARTED);
    effects.add(new Send(router, new AttemptHead(id, entry.head)));
    ResponseReplay replay = new ResponseReplay(id, router, entry, start.windowBytes());
    if (!replay.send(0, effects)) {
      replays.put(id, replay);
    }
  }

  private void replyToKnown(String router, AttemptId id, Status status) {
    if (status == Status.NEVER_RUN) {
      effects.add(new Send(router, new AttemptNotRun(id, Reason.WITHDRAWN)));
    } else if (status == Status.EVICTED) {
      effects.add(new Send(router, new AttemptFailed(id, Reason.UPSTREAM_FAILED)));
    }
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.CancelUpstream;
import dev.agatepier.core.process.SidecarEffect.ReadUpstream;
import dev.agatepier.core.process.SidecarEffect.Send;
import dev.agatepier.core.process.SidecarEffect.StartUpstream;
import dev.agatepier.core.process.internal.AttemptHistory.Status;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The attempts that hold a slot, from admission to end. */
final class RunningAttempts {
  private final WorkspaceLedger ledger;
  private final CostMeter meter;
  private final AttemptHistory history;
  private final TicketStore tickets;
  private final UpstreamCrashTracker deaths;
  private final List<SidecarEffect> effects;
  private final Map<AttemptId, RunningAttempt> running = new LinkedHashMap<>();
  private final ExclusiveAttemptQueue waitingExclusive = new ExclusiveAttemptQueue();

  RunningAttempts(
      WorkspaceLedger ledger,
      CostMeter meter,
      AttemptHistory history,
      TicketStore tickets,
      UpstreamCrashTracker deaths,
      List<SidecarEffect> effects) {
    this.ledger = ledger;
    this.meter = meter;
    this.history = history;
    this.tickets = tickets;
    this.deaths = deaths;
    this.effects = effects;
  }

  int size() {
    return running.size() + waitingExclusive.size();
  }

  /**
   * Returns whether an attempt runs exclusively or waits to do so; no other attempt may start then.
   */
  boolean exclusive() {
    return !waitingExclusive.isEmpty()
        || (running.size() == 1 && running.values().iterator().next().start.exclusive());
  }

  /** Accepts an attempt that holds a slot, and starts it unless it must wait to run exclusively. */
  void admit(RunningAttempt attempt, long nowNanos) {
    attempt.ticket.ifPresent(
        entry -> tickets.recordStart(attempt.start.ticket().orElseThrow(), entry));
    if (attempt.start.exclusive() && !running.isEmpty()) {
      waitingExclusive.add(attempt);
    } else {
      launch(attempt, nowNanos);
    }
  }

  /**
   * Withdraws an attempt, which may be unknown here: its status is recorded before the reply, so
   * that it cannot start later.
   */
  void withdraw(String router, AttemptId id) {
    RunningAttempt attempt = running.get(id);
    if (attempt == null) {
      withdrawNotStarted(router, id);
    } else if (attempt.detached) {
      effects.add(new Send(router, new AttemptFailed(id, Reason.WITHDRAWN)));
    } else if (attempt.ticket.isPresent()) {
      sendUnlessWithdrawn(attempt, new AttemptFailed(id, Reason.WITHDRAWN));
      detach(attempt);
    } else if (!attempt.withdrawn) {
      attempt.withdrawn = true;
      effects.add(new CancelUpstream(id));
    }
  }

  /** Lets that many more bytes of the upstream's response be read. */
  void credit(AttemptId id, long bytes) {
    if (running.containsKey(id)) {
      effects.add(new ReadUpstream(id, bytes));
    }
  }

  /** Cancels the attempts of a router incarnation; ticketed ones run on without it. */
  void onRouterDisconnected(PeerIdentity router, long nowNanos) {
    waitingExclusive
        .removeAll(attempt -> isOf(attempt, router))
        .forEach(attempt -> refuse(attempt, Reason.WITHDRAWN));
    for (RunningAttempt attempt : running.values()) {
      if (isOf(attempt, router) && !attempt.detached) {
        if (attempt.ticket.isEmpty()) {
          effects.add(new CancelUpstream(attempt.start.attempt()));
        }
        detach(attempt);
      }
    }
    startNext(nowNanos);
  }

  void onResponseStarted(AttemptId id, ResponseHead head) {
    RunningAttempt attempt = running.get(id);
    if (attempt != null) {
      attempt.ticket.ifPresent(entry -> tickets.recordHead(entry, head));
      sendUnlessWithdrawn(attempt, new AttemptMessage.AttemptHead(id, head));
    }
  }

  /**
   * Forwards part of a response; returns the time between its tokens in milliseconds, 0 for none.
   */
  double onResponseContent(AttemptId id, Bytes content, int tokens, long nowNanos) {
    RunningAttempt attempt = running.get(id);
    if (attempt == null) {
      return 0;
    }
    attempt.ticket.ifPresent(entry -> tickets.recordContent(entry, content));
    if (attempt.detached) {
      effects.add(new ReadUpstream(id, content.size()));
    }
    sendUnlessWithdrawn(attempt, new AttemptMessage.AttemptContent(id, attempt.frames, content));
    attempt.frames++;
    attempt.tokens += tokens;
    meter.chargeProgress(attempt, nowNanos);
    return gapMillis(attempt, tokens, nowNanos);
  }

  void onResponseEnded(AttemptId id, long reportedTokens, long nowNanos) {
    RunningAttempt attempt = running.get(id);
    if (attempt == null) {
      return;
    }
    double cost = meter.settleCompleted(attempt, reportedTokens, nowNanos);
    attempt.ticket.ifPresent(tickets::recordCompletion);
    LinkMessage end =
        attempt.withdrawn
            ? new AttemptFailed(id, Reason.WITHDRAWN)
            : new AttemptMessage.AttemptEnd(id, attempt.frames, cost);
    remove(attempt);
    sendUnlessDetached(attempt, end);
    startNext(nowNanos);
  }

  void onResponseFailed(AttemptId id, boolean sent, Reason reason, long nowNanos) {
    RunningAttempt attempt = running.get(id);
    if (attempt == null) {
      return;
    }
    remove(attempt);
    Reason reported = attempt.withdrawn ? Reason.WITHDRAWN : reason;
    if (sent) {
      fail(attempt, reported, nowNanos);
      if (!attempt.cancelled()) {
        deaths.recordBrokenResponse(attempt.start.fingerprint(), nowNanos);
      }
    } else {
      meter.refund(attempt);
      removeTicket(attempt);
      sendUnlessDetached(attempt, new AttemptNotRun(id, reported));
    }
    startNext(nowNanos);
  }

  /**
   * Fails the running attempts and refuses the waiting ones after a crash. The routers are first
   * sent a report of the requests that ran, so that they know of the crash before each of these
   * requests fails.
   */
  void onUpstreamCrashed(Collection<String> routers, long nowNanos) {
    LinkMessage.SuspicionReport report = deaths.reportCrash(running.values(), nowNanos);
    if (!report.suspicions().isEmpty()) {
      routers.forEach(router -> effects.add(new Send(router, report)));
    }
    for (RunningAttempt attempt : List.copyOf(running.values())) {
      remove(attempt);
      fail(attempt, Reason.UPSTREAM_DIED, nowNanos);
    }
    refuseWaiting(Reason.NOT_READY);
  }

  /** Refuses the attempts that wait to run exclusively. */
  void refuseWaiting(Reason reason) {
    waitingExclusive.removeAll(attempt -> true).forEach(attempt -> refuse(attempt, reason));
  }

  void onTick(long nowNanos) {
    running.values().forEach(attempt -> meter.chargeProgress(attempt, nowNanos));
    waitingExclusive
        .removeAll(attempt -> attempt.timeLeftMillis(nowNanos) <= 0)
        .forEach(attempt -> refuse(attempt, Reason.DEADLINE));
  }

  private void launch(RunningAttempt attempt, long nowNanos) {
    AttemptId id = attempt.start.attempt();
    history.recordStatus(id, Status.STARTED);
    attempt.startedNanos = nowNanos;
    running.put(id, attempt);
    ledger.addRunning(attempt.start.workspace(), 1);
    effects.add(
        new StartUpstream(
            id,
            attempt.start.head(),
            attempt.start.body(),
            attempt.timeLeftMillis(nowNanos),
            attempt.start.windowBytes()));
  }

  private void startNext(long nowNanos) {
    while (running.isEmpty() && !waitingExclusive.isEmpty()) {
      RunningAttempt attempt = waitingExclusive.removeFirst().orElseThrow();
      if (attempt.timeLeftMillis(nowNanos) > 0) {
        launch(attempt, nowNanos);
      } else {
        refuse(attempt, Reason.DEADLINE);
      }
    }
  }

  private void withdrawNotStarted(String router, AttemptId id) {
    Optional<RunningAttempt> waiting = waitingExclusive.remove(id);
    if (waiting.isPresent()) {
      refuse(waiting.get(), Reason.WITHDRAWN);
      return;
    }
    if (history.statusOf(id) == Status.NEW) {
      history.recordStatus(id, Status.NEVER_RUN);
    }
    boolean neverRun = history.statusOf(id) == Status.NEVER_RUN;
    effects.add(
        new Send(
            router,
            neverRun
                ? new AttemptNotRun(id, Reason.WITHDRAWN)
                : new AttemptFailed(id, Reason.WITHDRAWN)));
  }

  private void refuse(RunningAttempt attempt, Reason reason) {
    AttemptId id = attempt.start.attempt();
    history.recordStatus(id, Status.NEVER_RUN);
    meter.refund(attempt);
    ledger.addInFlight(attempt.start.workspace(), -1);
    removeTicket(attempt);
    sendUnlessWithdrawn(attempt, new AttemptNotRun(id, reason));
  }

  private void fail(RunningAttempt attempt, Reason reason, long nowNanos) {
    meter.settleIncomplete(attempt, nowNanos);
    attempt.ticket.ifPresent(tickets::recordFailure);
    sendUnlessDetached(attempt, new AttemptFailed(attempt.start.attempt(), reason));
  }

  private void removeTicket(RunningAttempt attempt) {
    attempt.ticket.ifPresent(entry -> tickets.remove(attempt.start.ticket().orElseThrow(), entry));
  }

  private void remove(RunningAttempt attempt) {
    running.remove(attempt.start.attempt());
    ledger.addRunning(attempt.start.workspace(), -1);
    ledger.addInFlight(attempt.start.workspace(), -1);
  }

  private void detach(RunningAttempt attempt) {
    attempt.detached = true;
    if (attempt.ticket.isPresent()) {
      effects.add(new ReadUpstream(attempt.start.attempt(), attempt.start.windowBytes()));
    }
  }

  private void sendUnlessWithdrawn(RunningAttempt attempt, LinkMessage message) {
    if (!attempt.withdrawn) {
      sendUnlessDetached(attempt, message);
    }
  }

  private void sendUnlessDetached(RunningAttempt attempt, LinkMessage message) {
    if (!attempt.detached) {
      effects.add(new Send(attempt.router, message));
    }
  }

  private static boolean isOf(RunningAttempt attempt, PeerIdentity router) {
    return attempt.router.equals(router.instance())
        && attempt.start.attempt().request().incarnation() == router.incarnation();
  }

  private static double gapMillis(RunningAttempt attempt, int tokens, long nowNanos) {
    if (tokens <= 0) {
      return 0;
    }
    long previousNanos = attempt.lastTokenNanos;
    attempt.lastTokenNanos = nowNanos;
    boolean first = attempt.tokens == tokens;
    return first ? 0 : (nowNanos - previousNanos) / (double) TimeUnit.MILLISECONDS.toNanos(tokens);
  }
}

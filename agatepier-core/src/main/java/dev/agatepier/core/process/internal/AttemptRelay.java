package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEffect.BeginAnswer;
import dev.agatepier.core.process.RouterEffect.ContinueAnswer;
import dev.agatepier.core.process.RouterEvent.CallerTook;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.List;

/** Relays the answer of each request's current attempt and decides what a failed one leads to. */
public final class AttemptRelay {

  /** Messages of credit for one window, so that small parts need none of their own. */
  private static final int CREDITS_PER_WINDOW = 4;

  /** How long the answer to a withdrawal is awaited. */
  private static final long GRACE_NANOS = 500_000_000;

  /** Most attempts of one request that may be turned down. */
  private static final int MOST_TURNED_DOWN = 16;

  private final RouterState state;
  private final RequestLifecycle lifecycle;

  /** Creates the relay. */
  public AttemptRelay(RouterState state, RequestLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /** Begins the answer. */
  void onResponseHead(RoutedRequest request, ResponseHead head, long nowNanos) {
    if (request.responseStarted || hungUp(request)) {
      return;
    }
    request.responseStarted = true;
    request.firstByteNanos = nowNanos;
    state.outbox.add(new BeginAnswer(request.id(), head));
  }

  /** Continues the answer, or cuts it at a gap. */
  void onResponseContent(RoutedRequest request, int frameNumber, Bytes content, long nowNanos) {
    if (frameNumber < request.nextFrame || hungUp(request)) {
      return;
    }
    if (!request.responseStarted || frameNumber > request.nextFrame) {
      abortIncomplete(request, nowNanos);
      return;
    }
    if (request.nextFrame == 0) {
      request.placement.recordResponseStarted(request);
    }
    request.nextFrame++;
    state.outbox.add(new ContinueAnswer(request.id(), content));
  }

  /** Ends the answer, or cuts it if a part is missing. */
  void onResponseEnded(RoutedRequest request, int frameCount, double cost, long nowNanos) {
    if (hungUp(request)) {
      lifecycle.fail(request, Reason.CALLER_GONE, cost, 0, nowNanos);
    } else if (!request.responseStarted || frameCount != request.nextFrame) {
      abortIncomplete(request, nowNanos);
    } else {
      lifecycle.complete(request, cost, nowNanos);
    }
  }

  /** Takes the proof that an attempt did not run. */
  void onAttemptNotRun(RoutedRequest request, Reason reason, boolean arrived, long nowNanos) {
    boolean last = request.responseStarted || isFinal(reason);
    if (!request.responseStarted && !isTicketDoubt(reason)) {
      request.possibleRuns--;
      request.provenNotRunCount++;
    }
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (request.responseStarted && request.plan.resumable()) {
      failOrRetry(request, reason, nowNanos);
    } else if (last || request.provenNotRunCount >= MOST_TURNED_DOWN) {
      lifecycle.fail(request, reason, nowNanos);
    } else if (arrived && !request.placement.takeRetry(request, nowNanos)) {
      lifecycle.fail(request, Reason.RETRY_BUDGET, nowNanos);
    } else {
      lifecycle.requeue(request, SlotStage.REJECTED, nowNanos);
    }
  }

  /** Takes the word that an answer will not become whole. */
  void onAttemptFailed(RoutedRequest request, Reason reason, long nowNanos) {
    request.deaths += reason == Reason.UPSTREAM_DIED ? 1 : 0;
    failOrRetry(request, reason, nowNanos);
  }

  /** Gives up what was running on a sidecar whose link is gone. */
  void onLinkLost(LinkedSidecar sidecar, long nowNanos) {
    for (RoutedRequest request : List.copyOf(sidecar.running().values())) {
      boolean again = request.ticketed() && !request.responseStarted && request.phase == Phase.RUNNING;
      if (again && request.deadlineNanos > nowNanos) {
        lifecycle.requeue(request, SlotStage.FAILED, nowNanos);
      } else {
        failOrRetry(request, Reason.LINK_LOST, nowNanos);
      }
    }
  }

  /** Passes on what the caller has taken. */
  public void onCallerRead(CallerTook taken) {
    RoutedRequest request = state.requests.get(taken.request());
    if (request != null && request.sent()) {
      request.uncreditedBytes += taken.bytes();
      if (request.uncreditedBytes * CREDITS_PER_WINDOW >= state.policy.windowBytes()) {
        state.outbox.add(request.target.credit(request.currentAttempt, request.uncreditedBytes));
        request.uncreditedBytes = 0;
      }
    }
  }

  /** Drops or withdraws the request of a caller that hung up. */
  public void onCallerDisconnected(RequestId id, long nowNanos) {
    RoutedRequest request = state.requests.get(id);
    if (request == null) {
      return;
    }
    if (request.sent()) {
      withdraw(request, Reason.CALLER_GONE, nowNanos);
    } else {
      lifecycle.fail(request, Reason.CALLER_GONE, nowNanos);
    }
  }

  /**
   * Stops the current attempt and has the request wait for another target, if it may run twice and
   * the budget allows it.
   *
   * @return whether it waits again
   */
  boolean retryElsewhere(RoutedRequest request, SlotStage stage, long nowNanos) {
    if (!repeatable(request)
        || request.deadlineNanos <= nowNanos
        || !request.placement.takeRetry(request, nowNanos)) {
      return false;
    }
    state.outbox.add(request.target.withdraw(request.currentAttempt));
    lifecycle.requeue(request, stage, nowNanos);
    return true;
  }

  /** Gives an answer up that cannot become whole any more. */
  void abortIncomplete(RoutedRequest request, long nowNanos) {
    state.outbox.add(request.target.withdraw(request.currentAttempt));
    failOrRetry(request, Reason.ANSWER_INCOMPLETE, nowNanos);
  }

  /** Acts on deadlines and graces that are over. */
  public void runDueTimers(long nowNanos) {
    RoutedRequest request = state.timers.pollDue(nowNanos);
    while (request != null) {
      timeOver(request, nowNanos);
      request = state.timers.pollDue(nowNanos);
    }
  }

  private void timeOver(RoutedRequest request, long nowNanos) {
    if (request.phase == Phase.RUNNING) {
      withdraw(request, Reason.DEADLINE, nowNanos);
    } else if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else {
      lifecycle.fail(
          request, homeGone(request) ? Reason.TICKET_HOME_GONE : Reason.DEADLINE, nowNanos);
    }
  }

  private boolean homeGone(RoutedRequest request) {
    return request
        .call
        .ticket()
        .map(ticket -> state.sidecars.incarnation(ticket.sidecar(), ticket.incarnation()) == null)
        .orElse(false);
  }

  private void withdraw(RoutedRequest request, Reason reason, long nowNanos) {
    if (request.phase == Phase.RUNNING) {
      request.phase = Phase.WITHDRAWN;
      state.outbox.add(request.target.withdraw(request.currentAttempt));
      state.timers.reschedule(request, nowNanos + GRACE_NANOS);
    }
    request.withdrawReason = reason;
  }

  private void failOrRetry(RoutedRequest request, Reason reason, long nowNanos) {
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (!repeatable(request)) {
      lifecycle.fail(request, reason, nowNanos);
    } else if (request.deadlineNanos <= nowNanos) {
      lifecycle.fail(request, Reason.DEADLINE, nowNanos);
    } else if (state.quarantine.isQuarantined(request, nowNanos)) {
      lifecycle.fail(request, Reason.QUARANTINED, nowNanos);
    } else if (!request.placement.takeRetry(request, nowNanos)) {
      lifecycle.fail(request, Reason.RETRY_BUDGET, nowNanos);
    } else {
      lifecycle.requeue(request, SlotStage.FAILED, nowNanos);
    }
  }

  /** Returns whether a request may run once more: what has begun goes on only if it can resume. */
  private static boolean repeatable(RoutedRequest request) {
    boolean allowed = request.responseStarted ? request.plan.resumable() : request.plan.repeatable();
    return allowed && !request.ticketed() && request.possibleRuns < request.plan.attempts();
  }

  private static boolean hungUp(RoutedRequest request) {
    return request.phase == Phase.WITHDRAWN && request.withdrawReason == Reason.CALLER_GONE;
  }

  private static boolean isFinal(Reason reason) {
    return switch (reason) {
      case BAD_REQUEST, BODY_TOO_LARGE, QUARANTINED, TICKET_INVALID -> true;
      default -> isTicketDoubt(reason);
    };
  }

  /** Returns whether a reason says that an earlier try under the ticket may have run. */
  private static boolean isTicketDoubt(Reason reason) {
    return switch (reason) {
      case TICKET_EXPIRED, TICKET_HOME_GONE, TICKET_IN_PROGRESS, TICKET_ANSWER_FORGOTTEN -> true;
      default -> false;
    };
  }
}

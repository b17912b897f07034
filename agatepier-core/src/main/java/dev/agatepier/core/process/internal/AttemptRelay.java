package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEffect.BeginResponse;
import dev.agatepier.core.process.RouterEffect.ContinueResponse;
import dev.agatepier.core.process.RouterEvent.ResponseConsumed;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import java.util.List;

/**
 * Relays the response of each request's current attempt to the caller, and decides whether to retry
 * after a failed attempt.
 */
public final class AttemptRelay {

  /**
   * Credit is sent once the caller has consumed a quarter of the window, to limit the number of
   * credit messages.
   */
  private static final int CREDITS_PER_WINDOW = 4;

  /** Time for which the reply to a withdrawal is awaited. */
  private static final long WITHDRAWAL_TIMEOUT_NANOS = 500_000_000;

  /** Maximum number of attempts of a request that may be rejected without having run. */
  private static final int MAXIMUM_REJECTED_ATTEMPTS = 16;

  private final RouterState state;
  private final RequestLifecycle lifecycle;

  /** Creates a relay that requeues and ends requests through {@code lifecycle}. */
  public AttemptRelay(RouterState state, RequestLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /** Starts the response to the caller. Further response heads are ignored. */
  void onResponseHead(RoutedRequest request, ResponseHead head, long nowNanos) {
    if (request.responseStarted || callerDisconnected(request)) {
      return;
    }
    request.responseStarted = true;
    request.firstByteNanos = nowNanos;
    state.outbox.add(new BeginResponse(request.id(), head));
  }

  /** Forwards a frame of the response, ignores a duplicate, and aborts the attempt at a gap. */
  void onResponseContent(RoutedRequest request, int frameNumber, Bytes content, long nowNanos) {
    if (frameNumber < request.nextFrame || callerDisconnected(request)) {
      return;
    }
    if (!request.responseStarted || frameNumber > request.nextFrame) {
      abortIncomplete(request, nowNanos);
      return;
    }
    if (request.nextFrame == 0) {
      request.placement.recordResponseStarted(request, nowNanos);
    }
    request.nextFrame++;
    state.directCrashes.onProgressed(request, nowNanos);
    state.outbox.add(new ContinueResponse(request.id(), content));
  }

  /** Completes the response, or aborts the attempt if a frame is missing. */
  void onResponseEnded(RoutedRequest request, int frameCount, double cost, long nowNanos) {
    if (callerDisconnected(request)) {
      lifecycle.fail(request, Reason.CALLER_GONE, cost, 0, nowNanos);
    } else if (!request.responseStarted || frameCount != request.nextFrame) {
      abortIncomplete(request, nowNanos);
    } else {
      lifecycle.complete(request, cost, nowNanos);
    }
  }

  /**
   * Handles an attempt that is proven not to have run: requeues the request, or fails it if another
   * attempt could not succeed or is not allowed.
   *
   * @param arrived whether the attempt reached the upstream, so that another one counts as a retry
   */
  void onAttemptNotRun(RoutedRequest request, Reason reason, boolean arrived, long nowNanos) {
    boolean terminal = request.responseStarted || isFinal(reason);
    boolean replaced = reason == Reason.UPSTREAM_OTHER && !arrived;
    boolean unsent = replaced || reason == Reason.WITHDRAWN && !arrived;
    if (unsent || !request.responseStarted && !mayHaveRunUnderTicket(reason)) {
      request.possibleRuns--;
      request.provenNotRunCount++;
    }
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (unsent) {
      // An attempt that was withdrawn before it was sent says nothing about the upstream.
      lifecycle.requeue(request, replaced ? SlotStage.REPLACED : SlotStage.DECLINED, nowNanos);
    } else if (request.responseStarted && request.plan.resumable()) {
      failOrRetry(request, reason, nowNanos);
    } else if (terminal || request.provenNotRunCount >= MAXIMUM_REJECTED_ATTEMPTS) {
      lifecycle.fail(request, reason, nowNanos);
    } else if (arrived && !request.placement.tryAcquireRetry(request, nowNanos)) {
      lifecycle.fail(request, Reason.RETRY_BUDGET, nowNanos);
    } else {
      lifecycle.requeue(request, notRunStage(reason), nowNanos);
    }
  }

  /** Handles a failed attempt that may have run. */
  void onAttemptFailed(RoutedRequest request, Reason reason, long nowNanos) {
    request.crashes += reason == Reason.UPSTREAM_DIED ? 1 : 0;
    state.directCrashes.onAttemptFailed(request, reason, nowNanos);
    failOrRetry(request, reason, nowNanos);
  }

  /**
   * Ends the attempts on a sidecar whose link was lost. A ticketed request without a response so
   * far is requeued, since its ticket rules out a second run.
   */
  void onSidecarDisconnected(ConnectedSidecar sidecar, long nowNanos) {
    for (RoutedRequest request : List.copyOf(sidecar.running().values())) {
      boolean resendable =
          request.ticketed() && !request.responseStarted && request.phase == Phase.RUNNING;
      if (resendable && request.deadlineNanos > nowNanos) {
        lifecycle.requeue(request, SlotStage.FAILED, nowNanos);
      } else {
        failOrRetry(request, Reason.LINK_LOST, nowNanos);
      }
    }
  }

  /** Counts the bytes that the caller has consumed, and credits them to the target in batches. */
  public void onResponseConsumed(ResponseConsumed consumed) {
    RoutedRequest request = state.requests.get(consumed.request());
    if (request != null && request.sent()) {
      request.uncreditedBytes += consumed.bytes();
      if (request.uncreditedBytes * CREDITS_PER_WINDOW >= state.policy.windowBytes()) {
        state.outbox.add(request.target.credit(request.currentAttempt, request.uncreditedBytes));
        request.uncreditedBytes = 0;
      }
    }
  }

  /** Fails the request of a disconnected caller, or withdraws its attempt first if one was sent. */
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
   * Withdraws the current attempt and requeues the request for another target, if the request is
   * repeatable and both its deadline and the retry budget allow it.
   *
   * @return whether the request was requeued
   */
  boolean retryElsewhere(RoutedRequest request, SlotStage stage, long nowNanos) {
    if (!repeatable(request)
        || request.deadlineNanos <= nowNanos
        || !request.placement.isServed(request, nowNanos)
        || !request.placement.tryAcquireRetry(request, nowNanos)) {
      return false;
    }
    state.outbox.add(request.target.withdraw(request.currentAttempt));
    lifecycle.requeue(request, stage, nowNanos);
    return true;
  }

  /**
   * Withdraws an attempt whose response can no longer be completed, and retries or fails the
   * request.
   */
  void abortIncomplete(RoutedRequest request, long nowNanos) {
    state.outbox.add(request.target.withdraw(request.currentAttempt));
    failOrRetry(request, Reason.ANSWER_INCOMPLETE, nowNanos);
  }

  /** Handles the deadlines and withdrawal timeouts that are due. */
  public void runDueTimers(long nowNanos) {
    RoutedRequest request = state.timers.pollDue(nowNanos);
    while (request != null) {
      onTimer(request, nowNanos);
      request = state.timers.pollDue(nowNanos);
    }
  }

  /** Ends the requests that cannot be served before the router stops, oldest first. */
  public void onStopAnnounced(long endNanos, long nowNanos) {
    state.stop.announce(endNanos);
    state.requests.values().forEach(request -> lifecycle.updateTimer(request, nowNanos));
    runDueTimers(nowNanos);
  }

  private void onTimer(RoutedRequest request, long nowNanos) {
    if (nowNanos < request.deadlineNanos && request.phase != Phase.WITHDRAWN) {
      onStopTimer(request, nowNanos);
    } else if (request.phase == Phase.RUNNING) {
      withdraw(request, Reason.DEADLINE, nowNanos);
    } else if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else {
      lifecycle.fail(
          request, isTicketHomeGone(request) ? Reason.TICKET_HOME_GONE : Reason.DEADLINE, nowNanos);
    }
  }

  /** Ends a request because the router stops, unless its response has started. */
  private void onStopTimer(RoutedRequest request, long nowNanos) {
    if (request.phase != Phase.RUNNING) {
      lifecycle.fail(request, Reason.DRAINING, nowNanos);
    } else if (request.responseStarted) {
      state.timers.reschedule(request, request.deadlineNanos);
    } else {
      withdraw(request, Reason.DRAINING, nowNanos);
    }
  }

  private boolean isTicketHomeGone(RoutedRequest request) {
    return request
        .call
        .ticket()
        .map(
            ticket ->
                state.sidecars.findByIncarnation(ticket.sidecar(), ticket.incarnation()) == null)
        .orElse(false);
  }

  private void withdraw(RoutedRequest request, Reason reason, long nowNanos) {
    if (request.phase == Phase.RUNNING) {
      request.phase = Phase.WITHDRAWN;
      state.outbox.add(request.target.withdraw(request.currentAttempt));
      state.timers.reschedule(request, nowNanos + WITHDRAWAL_TIMEOUT_NANOS);
    }
    request.withdrawReason = reason;
  }

  private void failOrRetry(RoutedRequest request, Reason reason, long nowNanos) {
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (!repeatable(request)
        || request.placement.isWithoutUpstreams(request.queue.service, nowNanos)) {
      lifecycle.fail(request, reason, nowNanos);
    } else if (request.deadlineNanos <= nowNanos) {
      lifecycle.fail(request, Reason.DEADLINE, nowNanos);
    } else if (state.quarantine.isQuarantined(request, nowNanos)
        || state.directCrashes.quarantineMillis(request.call, nowNanos).isPresent()) {
      lifecycle.fail(request, Reason.QUARANTINED, nowNanos);
    } else if (!request.placement.tryAcquireRetry(request, nowNanos)) {
      lifecycle.fail(request, Reason.RETRY_BUDGET, nowNanos);
    } else {
      lifecycle.requeue(request, RequestLifecycle.stage(reason), nowNanos);
    }
  }

  private static SlotStage notRunStage(Reason reason) {
    return switch (reason) {
      case WITHDRAWN -> SlotStage.DECLINED;
      case UPSTREAM_UNREACHABLE -> SlotStage.DISCONNECTED;
      default -> SlotStage.REJECTED;
    };
  }

  /**
   * Returns whether a request may run again; once its response has started, only a resumable one.
   */
  private static boolean repeatable(RoutedRequest request) {
    boolean allowed =
        request.responseStarted ? request.plan.resumable() : request.plan.repeatable();
    return allowed && !request.ticketed() && request.possibleRuns < request.plan.attempts();
  }

  private static boolean callerDisconnected(RoutedRequest request) {
    return request.phase == Phase.WITHDRAWN && request.withdrawReason == Reason.CALLER_GONE;
  }

  private static boolean isFinal(Reason reason) {
    return switch (reason) {
      case BAD_REQUEST, BODY_TOO_LARGE, QUARANTINED, TICKET_INVALID -> true;
      default -> mayHaveRunUnderTicket(reason);
    };
  }

  /** Returns whether a reason implies that an earlier attempt under the ticket may have run. */
  private static boolean mayHaveRunUnderTicket(Reason reason) {
    return switch (reason) {
      case TICKET_EXPIRED, TICKET_HOME_GONE, TICKET_IN_PROGRESS, TICKET_ANSWER_FORGOTTEN -> true;
      default -> false;
    };
  }
}

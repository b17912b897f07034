package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.AttemptContent;
import dev.agatepier.core.connection.LinkMessage.AttemptCredit;
import dev.agatepier.core.connection.LinkMessage.AttemptEnd;
import dev.agatepier.core.connection.LinkMessage.AttemptFailed;
import dev.agatepier.core.connection.LinkMessage.AttemptHead;
import dev.agatepier.core.connection.LinkMessage.AttemptNotRun;
import dev.agatepier.core.connection.LinkMessage.AttemptWithdrawn;
import dev.agatepier.core.process.RouterEffect.BeginAnswer;
import dev.agatepier.core.process.RouterEffect.ContinueAnswer;
import dev.agatepier.core.process.RouterEvent.CallerTook;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.List;

/** Relays the answer of each request's current attempt and decides what a failed one leads to. */
public final class AttemptRelay {

  /** Messages of credit for one window, so that small parts need none of their own. */
  private static final int CREDITS_PER_WINDOW = 4;

  /** How long the answer to a withdrawal is awaited. */
  private static final long GRACE_NANOS = 500_000_000;

  /** Most attempts of one request that sidecars may turn down. */
  private static final int MOST_TURNED_DOWN = 16;

  private final RouterState state;
  private final RequestLifecycle lifecycle;

  /** Creates the relay. */
  public AttemptRelay(RouterState state, RequestLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /** Begins the answer. */
  public void head(LinkedSidecar sidecar, AttemptHead message, long nowNanos) {
    RoutedRequest request = current(sidecar, message.attempt());
    if (request == null || request.begun || hungUp(request)) {
      return;
    }
    request.begun = true;
    request.firstByteNanos = nowNanos;
    state.outbox.add(new BeginAnswer(request.id(), message.head()));
  }

  /** Continues the answer, or cuts it at a gap. */
  public void content(LinkedSidecar sidecar, AttemptContent message, long nowNanos) {
    RoutedRequest request = current(sidecar, message.attempt());
    if (request == null || message.frameNumber() < request.nextFrame || hungUp(request)) {
      return;
    }
    if (!request.begun || message.frameNumber() > request.nextFrame) {
      cut(request, nowNanos);
      return;
    }
    request.nextFrame++;
    state.outbox.add(new ContinueAnswer(request.id(), message.content()));
  }

  /** Ends the answer, or cuts it if a part is missing. */
  public void end(LinkedSidecar sidecar, AttemptEnd message, long nowNanos) {
    RoutedRequest request = current(sidecar, message.attempt());
    if (request == null) {
      return;
    }
    if (hungUp(request)) {
      lifecycle.fail(request, Reason.CALLER_GONE, message.cost(), nowNanos);
    } else if (!request.begun || message.frameCount() != request.nextFrame) {
      cut(request, nowNanos);
    } else {
      lifecycle.complete(request, message.cost(), nowNanos);
    }
  }

  /** Takes the proof that an attempt did not run. */
  public void notRun(LinkedSidecar sidecar, AttemptNotRun message, long nowNanos) {
    RoutedRequest request = current(sidecar, message.attempt());
    if (request == null) {
      return;
    }
    boolean last = request.begun || isFinal(message.reason());
    if (!request.begun && !isTicketDoubt(message.reason())) {
      request.unproven--;
      request.proofs++;
    }
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (last || request.proofs >= MOST_TURNED_DOWN) {
      lifecycle.fail(request, message.reason(), nowNanos);
    } else {
      lifecycle.requeue(request, nowNanos);
    }
  }

  /** Takes the word that an answer will not become whole. */
  public void failed(LinkedSidecar sidecar, AttemptFailed message, long nowNanos) {
    RoutedRequest request = current(sidecar, message.attempt());
    if (request != null) {
      request.deaths += message.reason() == Reason.UPSTREAM_DIED ? 1 : 0;
      failOrRetry(request, message.reason(), nowNanos);
    }
  }

  /** Gives up what was running on a sidecar whose link is gone. */
  public void linkLost(LinkedSidecar sidecar, long nowNanos) {
    for (RoutedRequest request : List.copyOf(sidecar.running.values())) {
      boolean again = request.ticketed() && !request.begun && request.phase == Phase.RUNNING;
      if (again && request.deadlineNanos > nowNanos) {
        lifecycle.requeue(request, nowNanos);
      } else {
        failOrRetry(request, Reason.LINK_LOST, nowNanos);
      }
    }
  }

  /** Passes on what the caller has taken. */
  public void took(CallerTook taken) {
    RoutedRequest request = state.requests.get(taken.request());
    if (request != null && request.sent()) {
      request.uncreditedBytes += taken.bytes();
      if (request.uncreditedBytes * CREDITS_PER_WINDOW >= state.policy.windowBytes()) {
        state.outbox.send(
            request.sidecar.name(), new AttemptCredit(request.current, request.uncreditedBytes));
        request.uncreditedBytes = 0;
      }
    }
  }

  /** Drops or withdraws the request of a caller that hung up. */
  public void callerGone(RequestId id, long nowNanos) {
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

  /** Acts on deadlines and graces that are over. */
  public void timePassed(long nowNanos) {
    RoutedRequest request = state.timers.due(nowNanos);
    while (request != null) {
      timeOver(request, nowNanos);
      request = state.timers.due(nowNanos);
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
      state.outbox.send(request.sidecar.name(), new AttemptWithdrawn(request.current));
      state.timers.move(request, nowNanos + GRACE_NANOS);
    }
    request.withdrawReason = reason;
  }

  private void cut(RoutedRequest request, long nowNanos) {
    state.outbox.send(request.sidecar.name(), new AttemptWithdrawn(request.current));
    failOrRetry(request, Reason.ANSWER_INCOMPLETE, nowNanos);
  }

  private void failOrRetry(RoutedRequest request, Reason reason, long nowNanos) {
    if (request.phase == Phase.WITHDRAWN) {
      lifecycle.fail(request, request.withdrawReason, nowNanos);
    } else if (request.begun
        || !request.idempotent
        || request.ticketed()
        || request.unproven >= state.policy.attempts()) {
      lifecycle.fail(request, reason, nowNanos);
    } else if (request.deadlineNanos <= nowNanos) {
      lifecycle.fail(request, Reason.DEADLINE, nowNanos);
    } else if (state.quarantine.refuses(request, nowNanos)) {
      lifecycle.fail(request, Reason.QUARANTINED, nowNanos);
    } else if (!request.queue.retries.take()) {
      lifecycle.fail(request, Reason.RETRY_BUDGET, nowNanos);
    } else {
      lifecycle.requeue(request, nowNanos);
    }
  }

  private RoutedRequest current(LinkedSidecar sidecar, AttemptId attempt) {
    RoutedRequest request = state.requests.get(attempt.request());
    boolean matches =
        request != null && attempt.equals(request.current) && request.sidecar == sidecar;
    return matches ? request : null;
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

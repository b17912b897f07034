package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;

/** Judges what upstreams answer that the router itself called, and relays it. */
public final class UpstreamResponseHandler {

  /** Least HTTP status by which an upstream says that it failed. */
  private static final int SERVER_ERROR = 500;

  /** Least HTTP status that is no success. */
  private static final int NO_SUCCESS = 300;

  private final RouterState state;
  private final AttemptRelay relay;

  /** Creates the part. */
  public UpstreamResponseHandler(RouterState state, AttemptRelay relay) {
    this.state = state;
    this.relay = relay;
  }

  /**
   * Begins the answer. One by which the upstream says that it failed is tried elsewhere first; a
   * stream that is resumed keeps the head of its first upstream.
   */
  public void onResponseStarted(UpstreamResponseStarted event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request == null) {
      return;
    }
    int status = event.head().status();
    if (request.responseStarted) {
      if (status >= NO_SUCCESS) {
        relay.abortIncomplete(request, nowNanos);
      }
      return;
    }
    request.upstreamError = status >= SERVER_ERROR;
    if (!request.upstreamError || !relay.retryElsewhere(request, SlotStage.FAILED, nowNanos)) {
      relay.onResponseHead(request, event.head(), nowNanos);
    }
  }

  /** Continues the answer; events that the caller has already are left out. */
  public void onResponseContent(UpstreamResponseData event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request == null) {
      return;
    }
    boolean numbered = event.lastEvent() >= 0;
    if (numbered && event.lastEvent() <= request.lastEvent) {
      return;
    }
    if (numbered && event.firstEvent() <= request.lastEvent) {
      relay.abortIncomplete(request, nowNanos);
      return;
    }
    if (numbered) {
      request.lastEvent = event.lastEvent();
    }
    request.tokens += event.tokens();
    relay.onResponseContent(request, request.nextFrame, event.content(), nowNanos);
  }

  /** Ends the answer as whole. */
  public void onResponseEnded(UpstreamResponseCompleted event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onResponseEnded(request, request.nextFrame, request.cost(nowNanos), nowNanos);
    }
  }

  /** Takes the proof that an attempt did not run. */
  public void onAttemptNotRun(UpstreamNotRun event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onAttemptNotRun(request, event.reason(), event.rejectedByUpstream(), nowNanos);
    }
  }

  /** Takes the word that an answer will not become whole. */
  public void onAttemptFailed(UpstreamFailed event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onAttemptFailed(request, event.reason(), nowNanos);
    }
  }

  private RoutedRequest current(AttemptId attempt) {
    RoutedRequest request = state.requests.get(attempt.request());
    return request != null && attempt.equals(request.currentAttempt) ? request : null;
  }
}

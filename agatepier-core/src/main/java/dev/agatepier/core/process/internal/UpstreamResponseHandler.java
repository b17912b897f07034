package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEffect.StreamContinued;
import dev.agatepier.core.process.RouterEvent.UpstreamConfirmed;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamLoadReported;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;
import java.util.Optional;

/** Handles the responses of upstreams that the router calls directly, and relays them. */
public final class UpstreamResponseHandler {

  /** Lowest HTTP status of a server error. */
  private static final int SERVER_ERROR = 500;

  /** Lowest HTTP status that is not a success. */
  private static final int REDIRECTION = 300;

  private final RouterState state;
  private final AttemptRelay relay;
  private final StreamResumptions resumptions;

  /**
   * Creates a handler.
   *
   * @param relay relays responses to callers
   * @param resumptions records which software versions begin streams
   */
  public UpstreamResponseHandler(
      RouterState state, AttemptRelay relay, StreamResumptions resumptions) {
    this.state = state;
    this.relay = relay;
    this.resumptions = resumptions;
  }

  /**
   * Relays the head of a response. A server error is first retried elsewhere; a resumed stream
   * keeps the head from its first upstream and is continued by an event stream only.
   */
  public void onResponseStarted(UpstreamResponseStarted event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request == null) {
      return;
    }
    if (!request.softwareVersion.isEmpty() && !hasRequiredVersion(request)) {
      relay.abortIncomplete(request, nowNanos);
      return;
    }
    int status = event.head().status();
    if (request.responseStarted) {
      if (status >= REDIRECTION || !event.eventStream()) {
        relay.abortIncomplete(request, nowNanos);
      }
      return;
    }
    request.upstreamError = status >= SERVER_ERROR;
    if (!request.upstreamError || !relay.retryElsewhere(request, SlotStage.FAILED, nowNanos)) {
      relay.onResponseHead(request, event.head(), nowNanos);
    }
  }

  /**
   * Takes the listed software version for that of the upstream, whose process is the listed one.
   */
  public void onConfirmed(UpstreamConfirmed event) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      request.grantedVersion = event.softwareVersion();
    }
  }

  /** Stores the load that an upstream stated, for the next message to its slot allocator. */
  public void onLoadReported(UpstreamLoadReported event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      request.statedLoad = Optional.of(event.report());
      request.statedLoadNanos = nowNanos;
    }
  }

  /**
   * Relays response content. A run that repeats an event that the caller has does not go on after
   * it, and is aborted.
   */
  public void onResponseContent(UpstreamResponseData event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request == null) {
      return;
    }
    boolean numbered = event.lastEvent() >= 0;
    if (numbered && request.awaitsSeam) {
      reportSeam(request, event.firstEvent());
    }
    boolean joinsUnknownEvent = !numbered && request.resumes && request.nextFrame == 0;
    boolean joinsOtherVersion =
        request.nextFrame == 0 && request.plan.resumable() && !hasRequiredVersion(request);
    if (joinsUnknownEvent
        || joinsOtherVersion
        || (numbered && event.firstEvent() <= request.lastEvent)) {
      relay.abortIncomplete(request, nowNanos);
      return;
    }
    final boolean firstEvent = numbered && request.resumeAfter().isEmpty();
    if (numbered) {
      request.lastEvent = event.lastEvent();
    }
    if (request.softwareVersion.isEmpty() && request.target instanceof DirectUpstream direct) {
      request.softwareVersion =
          request.grantedVersion.equals(direct.upstream().softwareVersion())
              ? request.grantedVersion
              : RoutedRequest.UNCERTAIN_VERSION;
    }
    if (firstEvent) {
      resumptions.onFirstEvent(request, nowNanos);
    }
    request.tokens += event.tokens();
    request.recordContent(nowNanos);
    relay.onResponseContent(request, request.nextFrame, event.content(), nowNanos);
  }

  /** Reports the numbers on both sides of a seam, also of events that are not forwarded. */
  private void reportSeam(RoutedRequest request, long firstEvent) {
    request.awaitsSeam = false;
    state.outbox.add(
        new StreamContinued(
            request.currentAttempt, request.lastEvent, firstEvent, request.hasForwardedEvents()));
  }

  /** Completes the response. */
  public void onResponseEnded(UpstreamResponseCompleted event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onResponseEnded(request, request.nextFrame, request.cost(nowNanos), nowNanos);
    }
  }

  /** Handles an attempt that is known not to have run. */
  public void onAttemptNotRun(UpstreamNotRun event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onAttemptNotRun(request, event.reason(), event.rejectedByUpstream(), nowNanos);
    }
  }

  /** Handles a response that will not be completed. */
  public void onAttemptFailed(UpstreamFailed event, long nowNanos) {
    RoutedRequest request = current(event.attempt());
    if (request != null) {
      relay.onAttemptFailed(request, event.reason(), nowNanos);
    }
  }

  /**
   * Returns whether the upstream of the current attempt has the software version that the request
   * requires, and had no other one since the attempt was sent. The instance list may have changed
   * after the grant was checked.
   */
  private boolean hasRequiredVersion(RoutedRequest request) {
    if (!(request.target instanceof DirectUpstream direct)) {
      return true;
    }
    String sentTo = direct.upstream().softwareVersion();
    DirectUpstream listed = state.upstreams.find(direct.name());
    return (request.softwareVersion.isEmpty() || request.softwareVersion.equals(sentTo))
        && (listed == null || listed.upstream().softwareVersion().equals(sentTo));
  }

  private RoutedRequest current(AttemptId attempt) {
    RoutedRequest request = state.requests.get(attempt.request());
    return request != null && attempt.equals(request.currentAttempt) ? request : null;
  }
}

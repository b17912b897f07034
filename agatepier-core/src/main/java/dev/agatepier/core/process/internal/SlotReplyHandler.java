package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.OptionalLong;

/** Handles messages of slot allocators: calls upstreams, refuses requests and moves them. */
public final class SlotReplyHandler {

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final AllocatorPlacement placement;
  private final AttemptRelay attempts;

  /** Creates a handler without upstreams. */
  public SlotReplyHandler(
      RouterState state,
      RequestLifecycle lifecycle,
      AllocatorPlacement placement,
      AttemptRelay attempts) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.placement = placement;
    this.attempts = attempts;
  }

  /** Replaces the upstreams by those of a version of the instance list. */
  public void onInstancesActivated(InstanceList list, long nowNanos) {
    state.upstreams.update(list);
    placement.reportNotices(nowNanos);
    placement.updateUpstreams(list, nowNanos);
  }

  /** Handles what an upstream has said of further requests. */
  public void onNotice(Upstream sender, UpstreamNotice notice, long nowNanos) {
    if (state.upstreams.onNotice(sender, notice, nowNanos)) {
      placement.reportNotices(nowNanos);
      placement.moveUnserved(nowNanos);
    }
  }

  /** Handles an allocator's message; declines grants and ignores refusals of a previous one. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    switch (message) {
      case SlotGranted granted -> onGranted(router, granted, nowNanos);
      case SlotRefused refused -> onRefused(router, refused, nowNanos);
      case SlotRecalled recalled -> onRecalled(router, recalled, nowNanos);
      case SlotMessage.AllocatorLoad load -> placement.onAllocatorLoad(load, nowNanos);
      case SlotMessage.SlotsWanted _,
          SlotMessage.SlotsChanged _,
          SlotMessage.AllocatorCosts _,
          SlotMessage.UpstreamUnavailable _ -> {
        // Sent by routers to allocators only.
      }
    }
  }

  private void onGranted(String router, SlotGranted granted, long nowNanos) {
    RoutedRequest request = findWaiting(granted.request(), granted.service());
    DirectUpstream upstream = state.upstreams.find(granted.upstream());
    if (request == null || !placement.isAllocator(request, router)) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
    } else if (repliesToEarlierReport(request, granted)) {
      // The allocator ignores a report that crosses its grant, so that it is sent again.
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      placement.move(request, nowNanos);
    } else if (!state.upstreams.availability(upstream).state(nowNanos).usable()
        || granted.cold() && nowNanos - sendByNanos(request, granted) > 0) {
      if (upstream != null) {
        upstream.notices().clearReported(router);
        placement.reportNotices(nowNanos);
      }
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      placement.requeue(request, granted.upstream(), nowNanos);
    } else if (!state.regions.permits(request, upstream.upstream())
        || !request.softwareVersion.isEmpty()
            && !request.softwareVersion.equals(granted.softwareVersion())) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      if (state.regions.acceptsUnpermittedGrant(request)) {
        placement.requeue(request, granted.upstream(), nowNanos);
      } else {
        state.regions.reject(request, state.upstreams, lifecycle, nowNanos);
      }
    } else {
      onUsableGrant(router, request, upstream, granted, nowNanos);
    }
  }

  /** Calls the upstream of a grant, unless the request has been quarantined meanwhile. */
  private void onUsableGrant(
      String router,
      RoutedRequest request,
      DirectUpstream upstream,
      SlotGranted granted,
      long nowNanos) {
    OptionalLong quarantine = state.directCrashes.quarantineMillis(request.call, nowNanos);
    if (quarantine.isPresent()) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      lifecycle.fail(request, Reason.QUARANTINED, 0, quarantine.getAsLong(), nowNanos);
      return;
    }
    OptionalLong sendBy =
        granted.cold() ? OptionalLong.of(sendByNanos(request, granted)) : OptionalLong.empty();
    request.grantedVersion = granted.softwareVersion();
    call(request, upstream, sendBy, nowNanos);
  }

  /** Returns whether a grant for a cold upstream is a repeated one: each is counted only once. */
  private static boolean repliesToEarlierReport(RoutedRequest request, SlotGranted granted) {
    return granted.cold() && granted.timeLeftMillis() != request.reportedTimeLeftMillis;
  }

  /**
   * Returns until when a request may be sent to a cold upstream. The time since the router reported
   * the request, less its wait at the allocator, is at least the time since the grant.
   */
  private static long sendByNanos(RoutedRequest request, SlotGranted granted) {
    long reportedNanos =
        request.deadlineNanos - (granted.timeLeftMillis() + 1) * RouterState.NANOS_PER_MILLI;
    return reportedNanos
        + granted.waitedMillis() * RouterState.NANOS_PER_MILLI
        + ColdGrantWindow.MAX_AGE_NANOS;
  }

  private void call(
      RoutedRequest request, DirectUpstream upstream, OptionalLong sendByNanos, long nowNanos) {
    AttemptId attempt = lifecycle.start(request, upstream, false, nowNanos);
    state.directCrashes.onSent(request, nowNanos);
    boolean mayBeReplaced =
        request.grantedVersion.isEmpty() && !upstream.upstream().softwareVersion().isEmpty();
    boolean beginsStream = request.plan.resumable() && request.softwareVersion.isEmpty();
    state.outbox.add(
        new RouterEffect.RunAttempt(
            attempt,
            upstream.upstream(),
            request.call.workspace(),
            request.call.head(),
            request.call.body(),
            request.plan,
            (request.deadlineNanos - nowNanos) / RouterState.NANOS_PER_MILLI,
            request.resumeAfter(),
            request.softwareVersion,
            state.policy.windowBytes(),
            sendByNanos,
            mayBeReplaced && beginsStream));
  }

  private void onRefused(String router, SlotRefused refused, long nowNanos) {
    RoutedRequest request = findWaiting(refused.request(), refused.service());
    if (request != null
        && placement.isAllocator(request, router)
        && !placement.requeueElsewhere(request, refused.alternative(), nowNanos)) {
      placement.recordRejected(request);
      lifecycle.fail(request, Reason.OVERLOADED, 0, refused.retryAfterMillis(), nowNanos);
    }
  }

  /**
   * Retries a request elsewhere if no response has started, it may run twice and budget is left.
   */
  private void onRecalled(String router, SlotRecalled recalled, long nowNanos) {
    RoutedRequest request = state.requests.get(recalled.request());
    if (request != null
        && request.phase == Phase.RUNNING
        && request.placement == placement
        && placement.isAllocator(request, router)
        && request.lastTarget.equals(recalled.upstream())
        && !request.receivesResponse()) {
      attempts.retryElsewhere(request, SlotStage.FAILED, nowNanos);
    }
  }

  private RoutedRequest findWaiting(RequestId id, String service) {
    RoutedRequest request = state.requests.get(id);
    boolean isWaiting =
        request != null
            && request.phase == Phase.WAITING
            && request.placement == placement
            && request.queue.service.equals(service);
    return isWaiting ? request : null;
  }
}

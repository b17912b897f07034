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
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.HashMap;
import java.util.Map;

/** Handles messages of slot allocators: calls upstreams, refuses requests and moves them. */
public final class SlotReplyHandler {

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final AllocatorPlacement placement;
  private final AttemptRelay attempts;
  private Map<String, DirectUpstream> upstreams = Map.of();

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
    Map<String, DirectUpstream> listed = new HashMap<>();
    for (Upstream upstream : list.upstreams()) {
      DirectUpstream direct = upstreams.get(upstream.name());
      if (direct == null || direct.upstream().incarnation() != upstream.incarnation()) {
        direct = new DirectUpstream(upstream);
      }
      direct.update(upstream);
      listed.put(upstream.name(), direct);
    }
    upstreams = listed;
    placement.updateUpstreams(list.upstreams(), nowNanos);
  }

  /** Handles an allocator's message; declines grants and ignores refusals of a previous one. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    switch (message) {
      case SlotGranted granted -> onGranted(router, granted, nowNanos);
      case SlotRefused refused -> onRefused(router, refused, nowNanos);
      case SlotRecalled recalled -> onRecalled(router, recalled, nowNanos);
      case SlotMessage.AllocatorLoad load -> placement.onAllocatorLoad(load, nowNanos);
      case SlotMessage.SlotsWanted _, SlotMessage.SlotsChanged _, SlotMessage.AllocatorCosts _ -> {
        // Sent by routers to allocators only.
      }
    }
  }

  private void onGranted(String router, SlotGranted granted, long nowNanos) {
    RoutedRequest request = findWaiting(granted.request(), granted.service());
    DirectUpstream upstream = upstreams.get(granted.upstream());
    if (request == null || !placement.isAllocator(request, router)) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
    } else if (upstream == null || upstream.upstream().leaving()) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      placement.requeue(request, granted.upstream(), nowNanos);
    } else if (!state.regions.permits(request, upstream.upstream().dataCentre())) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      if (state.regions.acceptsUnpermittedGrant(request)) {
        placement.requeue(request, granted.upstream(), nowNanos);
      } else {
        state.regions.reject(request, lifecycle, nowNanos);
      }
    } else if (state.directCrashes.quarantineMillis(request.call, nowNanos).isPresent()) {
      placement.decline(router, granted.service(), granted.request(), granted.upstream());
      lifecycle.fail(request, Reason.QUARANTINED, nowNanos);
    } else {
      call(request, upstream, nowNanos);
    }
  }

  private void call(RoutedRequest request, DirectUpstream upstream, long nowNanos) {
    AttemptId attempt = lifecycle.start(request, upstream, false, nowNanos);
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
            state.policy.windowBytes()));
  }

  private void onRefused(String router, SlotRefused refused, long nowNanos) {
    RoutedRequest request = findWaiting(refused.request(), refused.service());
    if (request != null
        && placement.isAllocator(request, router)
        && !placement.requeueElsewhere(request, refused.alternative(), nowNanos)) {
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

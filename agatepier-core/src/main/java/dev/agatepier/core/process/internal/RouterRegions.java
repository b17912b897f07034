package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/**
 * The regions in which the requests of a router may be processed: by the newest table, those that
 * both its route and its workspace allow.
 */
final class RouterRegions {

  /** Retry-after time where a permitted data centre has no upstream of the service now. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * Maximum number of grants of a request that are declined because the upstream is not permitted.
   * A change of the table or of the instance list can cross one grant; an allocator that has other
   * settings of the regions repeats them.
   */
  private static final int MAXIMUM_UNPERMITTED_GRANTS = 3;

  final DataCentreRegions dataCentres;
  private RegionLists lists = RegionLists.NONE;

  RouterRegions(DataCentreRegions dataCentres) {
    this.dataCentres = dataCentres;
  }

  /** Returns the version of the table that the lists come from. */
  long tableVersion() {
    return lists.version();
  }

  /**
   * Sets the regions of a new request. Its route and workspace were found in a table that may be
   * older or newer than the active one, so that both bind until the next one is activated.
   */
  void initialize(RoutedRequest request) {
    request.routeRegions = request.call.allowedRegions();
    if (lists.restricted()) {
      AllowedRegions matched = request.routeRegions;
      request.routeRegions = matched.and(lists.ofRoute(request.plan.route(), matched));
      request.workspaceRegions =
          lists.ofWorkspace(request.call.workspace(), request.workspaceRegions);
    }
    request.allowedRegions = request.routeRegions.and(request.workspaceRegions);
  }

  /**
   * Applies the lists of the active table to all requests, and moves those that wait and may now be
   * processed in other regions.
   */
  void activate(RouterState state, AllocatorPlacement placement, long nowNanos) {
    RegionLists newer = new RegionLists(state.table);
    boolean changed = !newer.sameAs(lists);
    boolean bound = newer.restricted() || lists.restricted();
    lists = newer;
    int waitingChanged = 0;
    for (RoutedRequest request : List.copyOf(state.requests.values())) {
      boolean skipped = !bound && request.allowedRegions.all();
      if (!skipped && update(request)) {
        if (placement.isWaiting(request)) {
          placement.move(request, nowNanos);
          waitingChanged++;
        } else if (runsOutside(request)) {
          state.outbox.add(new RouterEffect.CancelUnsentAttempt(request.currentAttempt));
        }
      }
    }
    if (changed) {
      state.outbox.add(
          new RouterEffect.AllowedRegionsChanged(
              newer.version(),
              newer.restrictedRoutes(),
              newer.restrictedWorkspaces(),
              waitingChanged));
    }
  }

  /** Returns whether a request was given to an upstream that is not permitted any more. */
  private boolean runsOutside(RoutedRequest request) {
    return request.phase == Phase.RUNNING
        && request.target instanceof DirectUpstream direct
        && !permits(request, direct.upstream());
  }

  /** Applies the active lists to a request; returns whether its regions have changed. */
  private boolean update(RoutedRequest request) {
    request.routeRegions = lists.ofRoute(request.plan.route(), request.routeRegions);
    request.workspaceRegions =
        lists.ofWorkspace(request.call.workspace(), request.workspaceRegions);
    AllowedRegions allowed = request.routeRegions.and(request.workspaceRegions);
    if (allowed.equals(request.allowedRegions)) {
      return false;
    }
    request.allowedRegions = allowed;
    request.unpermittedGrants = 0;
    return true;
  }

  /** Returns whether an upstream may run a request. */
  boolean permits(RoutedRequest request, Upstream upstream) {
    return request
        .requirements()
        .permits(dataCentres, upstream.dataCentre(), upstream.softwareVersion());
  }

  /**
   * Returns whether a request that was granted an upstream that is not permitted may wait for
   * another grant.
   */
  boolean acceptsUnpermittedGrant(RoutedRequest request) {
    request.unpermittedGrants++;
    return request.unpermittedGrants <= MAXIMUM_UNPERMITTED_GRANTS;
  }

  /**
   * Ends a waiting request for which no upstream of the service is permitted. A software version
   * that is gone does not come back, so that there is no retry-after time. While evacuations or
   * notices restrict the service, they may have rejected many at once, so that the retry-after
   * times are spread.
   */
  void reject(
      RoutedRequest request, KnownUpstreams upstreams, RequestLifecycle lifecycle, long nowNanos) {
    String service = request.queue.service;
    if (lacksVersionOnly(request, upstreams, nowNanos)) {
      lifecycle.fail(request, Reason.NO_UPSTREAM_OF_VERSION, nowNanos);
      return;
    }
    long retryAfterMillis = 0;
    if (request.provenNotRun() && dataCentres.permitsAny(request.allowedRegions)) {
      retryAfterMillis =
          upstreams.restricts(service, nowNanos)
              ? upstreams.retryAfterMillis(
                  service,
                  name -> dataCentres.permits(request.allowedRegions, name),
                  request.id(),
                  nowNanos)
              : RETRY_AFTER_MILLIS;
    }
    lifecycle.fail(request, Reason.NO_PERMITTED_UPSTREAM, 0, retryAfterMillis, nowNanos);
  }

  /** Returns whether a request is bound to a software version and its regions are not the cause. */
  private boolean lacksVersionOnly(RoutedRequest request, KnownUpstreams upstreams, long nowNanos) {
    return !request.softwareVersion.isEmpty()
        && (request.allowedRegions.all()
            || upstreams
                .usablePlaces(request.queue.service, nowNanos)
                .anyMatch(
                    place -> dataCentres.permits(request.allowedRegions, place.dataCentre())));
  }
}

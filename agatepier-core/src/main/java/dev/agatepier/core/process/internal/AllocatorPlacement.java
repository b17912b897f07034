package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.process.internal.RoutedRequest.Phase;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Obtains slots from slot allocators: reports each waiting request and its changes of state to the
 * allocator of its service, which selects the upstream.
 */
public final class AllocatorPlacement implements Placement {

  /** Maximum number of further data centres that a refused request is sent to. */
  private static final int MAX_FALLBACKS = 2;

  private final RouterState state;
  private final DataCentreSelector selector;
  private final Map<SessionKey, AllocatorSession> sessions = new LinkedHashMap<>();
  private final Map<String, SlidingWindowRetryBudget> budgets = new HashMap<>();
  private final SizeFairness sizes = new SizeFairness();
  private final CallerAges ages = new CallerAges();
  private final UnplacedRequests unplaced;

  /** Service and data centre that a session covers. */
  private record SessionKey(String service, String dataCentre) {}

  /** Creates a placement without requests. */
  public AllocatorPlacement(RouterState state) {
    this.state = state;
    this.unplaced = new UnplacedRequests(state);
    this.selector =
        new DataCentreSelector(
            state.self,
            state.policy.regionMillis(),
            state.upstreams,
            state.regions.dataCentres,
            state.slots.mayHaveHomesByLoad()
                ? new PrefixHomesByLoad(state.upstreams)
                : PrefixHomes.ONE);
  }

  @Override
  public void add(RoutedRequest request, long nowNanos) {
    requestSlot(request, nowNanos);
    if (request.attempts == 0 && !isUnplaced(request)) {
      budget(request).recordRequest(nowNanos);
      request.underserved =
          request
              .call
              .prompt()
              .filter(prompt -> sizes.recordArrived(request.plan.route(), prompt))
              .isPresent();
      request.callerAgeMillis =
          ages.recordArrived(
              request.plan.route(),
              (request.call.deadlineNanos() - nowNanos) / RouterState.NANOS_PER_MILLI);
    }
  }

  @Override
  public void requeue(RoutedRequest request, String avoided, long nowNanos) {
    if (!isUnplaced(request)) {
      sessions.get(key(request)).remove(request);
    }
    request.refusedBy.clear();
    requestSlot(request, nowNanos);
  }

  @Override
  public boolean isWithoutUpstreams(String service, long nowNanos) {
    return state.upstreams.isWithoutUpstreams(service, nowNanos);
  }

  @Override
  public boolean isServed(RoutedRequest request, long nowNanos) {
    return !selector.serving(request, state.allocatorCandidates(), nowNanos).none();
  }

  /** Moves the waiting requests whose data centre serves them no more. */
  void moveUnserved(long nowNanos) {
    Collection<PeerIdentity> routers = state.allocatorCandidates();
    List<RoutedRequest> unserved = new ArrayList<>();
    sessions.forEach(
        (key, session) -> {
          Map<UpstreamRequirements, ServingDataCentres> serving = new HashMap<>();
          session
              .waiting()
              .filter(
                  request ->
                      !serving
                          .computeIfAbsent(
                              request.requirements(),
                              required ->
                                  selector.serving(key.service(), required, routers, nowNanos))
                          .contains(key.dataCentre()))
              .forEach(unserved::add);
        });
    unserved.forEach(request -> move(request, nowNanos));
  }

  /**
   * Requests a slot in another data centre for a request that an allocator refused, if the
   * allocator named one and the round trip leaves time to meet the objective.
   *
   * @param alternative data centre that the allocator named; empty for none
   * @return whether it waits again
   */
  boolean requeueElsewhere(RoutedRequest request, String alternative, long nowNanos) {
    session(request, nowNanos).remove(request);
    request.refusedBy.add(request.dataCentre);
    long dueNanos = request.arrivedNanos + request.objectiveMillis() * RouterState.NANOS_PER_MILLI;
    Collection<PeerIdentity> routers = state.allocatorCandidates();
    if (request.refusedBy.size() > MAX_FALLBACKS
        || request.refusedBy.contains(alternative)
        || routers.stream().noneMatch(router -> router.dataCentre().equals(alternative))
        || !selector.serving(request, routers, nowNanos).contains(alternative)
        || dueNanos - nowNanos < state.policy.regionMillis() * RouterState.NANOS_PER_MILLI) {
      return false;
    }
    request.dataCentre = alternative;
    selector.recordSent(request, alternative, routers, nowNanos);
    session(request, nowNanos).addWaiting(request);
    return true;
  }

  @Override
  public void remove(RoutedRequest request) {
    if (!isUnplaced(request)) {
      sessions.get(key(request)).withdraw(request);
    }
  }

  /** Selects the data centre again for a waiting request, which keeps its age. */
  void move(RoutedRequest request, long nowNanos) {
    remove(request);
    requeue(request, "", nowNanos);
  }

  /** Returns whether a request waits for a slot of an allocator. */
  boolean isWaiting(RoutedRequest request) {
    return request.phase == Phase.WAITING && request.placement == this;
  }

  /** Returns whether no data centre was found for a request. */
  boolean isUnplaced(RoutedRequest request) {
    return request.dataCentre.isEmpty();
  }

  @Override
  public void recordStarted(RoutedRequest request, long nowNanos) {
    if (request.attempts == 0) {
      request.call.prompt().ifPresent(prompt -> sizes.recordGranted(request.plan.route(), prompt));
    }
  }

  @Override
  public void recordResponseStarted(RoutedRequest request, long nowNanos) {
    sessions.get(key(request)).addProgress(request, SlotStage.RESPONSE_STARTED, 0, nowNanos);
  }

  @Override
  public void recordReleased(RoutedRequest request, SlotStage stage, long nowNanos) {
    sessions.get(key(request)).release(request, stage, (long) request.cost(nowNanos), nowNanos);
  }

  @Override
  public void recordFailed(RoutedRequest request) {
    if (request.attempts > 0) {
      request.call.prompt().ifPresent(prompt -> sizes.recordFailed(request.plan.route(), prompt));
    }
  }

  /** Records that a request was rejected, so that its caller may send it again. */
  void recordRejected(RoutedRequest request) {
    ages.recordRejected(request.plan.route());
  }

  @Override
  public boolean tryAcquireRetry(RoutedRequest request, long nowNanos) {
    double slack = state.policy.retrySlack() / state.recentPeakRouters(nowNanos);
    return budget(request).tryAcquire(state.retryShare(request.queue.service), slack, nowNanos);
  }

  /** Returns whether a router is the allocator that a request was reported to. */
  boolean isAllocator(RoutedRequest request, String router) {
    AllocatorSession session = sessions.get(key(request));
    return session != null && session.isAllocator(router);
  }

  /** Reports to an allocator that a slot it granted is not used. */
  void decline(String router, String service, RequestId request, String upstream) {
    for (Map.Entry<SessionKey, AllocatorSession> entry : sessions.entrySet()) {
      if (entry.getKey().service().equals(service) && entry.getValue().isAllocator(router)) {
        entry.getValue().addChange(request, upstream, SlotStage.DECLINED, 0);
        return;
      }
    }
  }

  /** Records the load that an allocator reports. */
  void onAllocatorLoad(AllocatorLoad load, long nowNanos) {
    selector.recordLoad(load, nowNanos);
  }

  /** Replaces the upstreams by those of the instance list. */
  void updateUpstreams(InstanceList list, long nowNanos) {
    selector.setUpstreams(list, nowNanos);
    moveUnserved(nowNanos);
  }

  /** Forgets the routes that the active table no longer contains, and applies its regions. */
  public void onTableActivated(long nowNanos) {
    sizes.retainRoutes(state.routes);
    ages.retainRoutes(state.routes);
    state.regions.activate(state, this, nowNanos);
  }

  /** Tells slot allocators which upstreams have said that they want no new requests. */
  public void reportNotices(long nowNanos) {
    Collection<PeerIdentity> routers = state.allocatorCandidates();
    for (DirectUpstream direct : state.upstreams.noticed(nowNanos)) {
      Upstream upstream = direct.upstream();
      UpstreamNotices notices = direct.notices();
      String dataCentre = AllocatorSelection.responsibleDataCentre(upstream.dataCentre(), routers);
      AllocatorSelection.select(upstream.service(), dataCentre, routers)
          .filter(allocator -> notices.markReported(allocator, nowNanos))
          .ifPresent(
              allocator ->
                  state.outbox.send(
                      allocator,
                      new SlotMessage.UpstreamUnavailable(
                          upstream.service(),
                          upstream.name(),
                          notices.incarnation(),
                          notices.leaving(),
                          notices.pauseMillis(nowNanos))));
    }
  }

  /** Ends the requests that no data centre serves. */
  public void rejectUnplaced(RequestLifecycle lifecycle, long nowNanos) {
    unplaced.rejectAll(lifecycle, nowNanos);
  }

  /** Clears a disconnected router as allocator. */
  void onRouterDisconnected(String router) {
    state.upstreams.clearReported(router);
    sessions.values().forEach(session -> session.onAllocatorDisconnected(router));
  }

  /**
   * Selects the allocators again among the given routers. Requests of a data centre without routers
   * move to its fallback data centre.
   */
  void onRoutersChanged(Collection<PeerIdentity> routers, long nowNanos) {
    List<RoutedRequest> orphans = new ArrayList<>();
    sessions.forEach(
        (key, session) -> {
          session.setAllocator(
              AllocatorSelection.select(key.service(), key.dataCentre(), routers), nowNanos);
          orphans.addAll(session.takeOrphans());
        });
    for (RoutedRequest orphan : orphans) {
      orphan.dataCentre = AllocatorSelection.responsibleDataCentre(orphan.dataCentre, routers);
      session(orphan, nowNanos).adopt(orphan);
    }
    reportNotices(nowNanos);
    moveUnserved(nowNanos);
  }

  /** Sends the pending changes to each allocator. */
  public void flush(long nowNanos) {
    sessions.values().forEach(session -> session.flush(nowNanos));
  }

  private void requestSlot(RoutedRequest request, long nowNanos) {
    request.dataCentre = selector.choose(request, state.allocatorCandidates(), nowNanos);
    if (isUnplaced(request)) {
      unplaced.add(request);
    } else {
      session(request, nowNanos).addWaiting(request);
    }
  }

  private AllocatorSession session(RoutedRequest request, long nowNanos) {
    AllocatorSession existing = sessions.get(key(request));
    if (existing != null) {
      return existing;
    }
    Collection<PeerIdentity> routers = state.allocatorCandidates();
    String region =
        routers.stream()
            .filter(router -> router.dataCentre().equals(request.dataCentre))
            .map(PeerIdentity::region)
            .findFirst()
            .orElse("");
    long roundTripMillis = (long) selector.roundTripMillis(request.dataCentre, region);
    AllocatorSession session =
        new AllocatorSession(request.queue.service, roundTripMillis, state.outbox, state.regions);
    sessions.put(key(request), session);
    session.setAllocator(
        AllocatorSelection.select(request.queue.service, request.dataCentre, routers), nowNanos);
    return session;
  }

  private static SessionKey key(RoutedRequest request) {
    return new SessionKey(request.queue.service, request.dataCentre);
  }

  private SlidingWindowRetryBudget budget(RoutedRequest request) {
    long windowNanos = state.policy.retryWindowMillis() * RouterState.NANOS_PER_MILLI;
    return budgets.computeIfAbsent(
        request.queue.service, name -> new SlidingWindowRetryBudget(windowNanos));
  }
}

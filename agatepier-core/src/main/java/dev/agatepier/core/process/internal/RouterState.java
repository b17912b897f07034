package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.RequestProgress;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.RouterSnapshot;
import dev.agatepier.core.process.RouterSnapshot.QueueStatus;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** State that the parts of a router's decision share; only the task that owns it may access it. */
public final class RouterState {

  static final long NANOS_PER_MILLI = 1_000_000;

  /** Time for which a disconnected router still counts in the division of the fleet's budgets. */
  private static final long ROUTER_COUNT_NANOS = 20_000_000_000L;

  /** Limits of a workspace that was removed from the table while it still has requests. */
  private static final Limits UNLIMITED = new Limits(Integer.MAX_VALUE, Integer.MAX_VALUE, 0);

  final PeerIdentity self;
  final RouterPolicy policy;

  /** Settings of the slot allocators, the same in all routers. */
  final SlotAllocatorPolicy slots;

  final RouterOutbox outbox = new RouterOutbox();
  final ConnectedSidecars sidecars;
  final Map<String, PeerIdentity> routers = new TreeMap<>();
  final WorkspaceQueues queues;
  final Map<RequestId, RoutedRequest> requests = new HashMap<>();
  final RequestTimers timers = new RequestTimers();
  final Quarantine quarantine;
  final DirectCrashes directCrashes;
  final RunningFingerprints fingerprints = new RunningFingerprints();
  final RouteTimes times = new RouteTimes();
  final RouterRegions regions;
  final StopSchedule stop = new StopSchedule(times);
  final KnownUpstreams upstreams = new KnownUpstreams();
  final PrefixAffinity affinity = new PrefixAffinity();
  final Set<String> leavingRouters = new HashSet<>();
  Table table = Table.NONE;

  /** Names of all routes and services of the active table. */
  Set<String> routes = Set.of();

  boolean draining;
  long lastSequence;
  private final RecentPeak peakRouters = new RecentPeak(ROUTER_COUNT_NANOS);

  /** Creates a state without a table, peers or requests, in which no region is known. */
  public RouterState(PeerIdentity self, RouterPolicy policy) {
    this(self, policy, SlotAllocatorPolicy.DEFAULT, DataCentreRegions.NONE);
  }

  /** Creates a state without a table, peers or requests. */
  public RouterState(
      PeerIdentity self,
      RouterPolicy policy,
      SlotAllocatorPolicy slots,
      DataCentreRegions dataCentres) {
    this.self = self;
    this.policy = policy;
    this.slots = slots;
    regions = new RouterRegions(dataCentres);
    sidecars = new ConnectedSidecars(self, policy.sidecarsPerService());
    queues = new WorkspaceQueues(policy.spillMillis() * NANOS_PER_MILLI);
    quarantine = new Quarantine(policy, 0);
    directCrashes = new DirectCrashes(this);
  }

  /**
   * Returns the routers, including this one, from which the slot allocator of a service is
   * selected.
   */
  Collection<PeerIdentity> allocatorCandidates() {
    List<PeerIdentity> reachable = new ArrayList<>(routers.values());
    reachable.add(self);
    return AllocatorSelection.candidates(reachable, leavingRouters);
  }

  /** Returns the recent maximum number of routers connected at one time, including this one. */
  int recentPeakRouters(long nowNanos) {
    return peakRouters.update(routers.size() + 1, nowNanos);
  }

  /** Returns the outbox to which all parts of the decision add their effects. */
  public RouterOutbox outbox() {
    return outbox;
  }

  /** Activates a table version unless a newer one is active. */
  public void onTableActivated(Table newer) {
    if (newer.version() >= table.version()) {
      table = newer;
      routes = new HashSet<>(table.services().keySet());
      table.routes().routes().forEach(route -> routes.add(route.plan().route()));
      times.retainRoutes(routes);
    }
  }

  /** Returns whether a drain has started and no request is left. */
  public boolean drained() {
    return draining && requests.isEmpty();
  }

  /** Returns whether no request is in progress. */
  public boolean idle() {
    return requests.isEmpty();
  }

  /** Starts a drain: new requests are refused. */
  public void startDrain() {
    draining = true;
  }

  /** Drops idle queues and old quarantine entries. */
  public void expire(long nowNanos) {
    queues.expire(this, nowNanos);
    quarantine.expire(nowNanos);
    directCrashes.expire(nowNanos);
  }

  /** Returns the state that is shown to operators. */
  public RouterSnapshot snapshot(long nowNanos) {
    Map<WaitingQueue, Integer> running = new HashMap<>();
    Map<WaitingQueue, Integer> waiting = new HashMap<>();
    for (RoutedRequest request : requests.values()) {
      (request.sent() ? running : waiting).merge(request.queue, 1, Integer::sum);
    }
    return new RouterSnapshot(
        draining,
        sidecars.all().stream().map(ConnectedSidecar::name).toList(),
        queues.all().stream()
            .filter(queue -> running.containsKey(queue) || waiting.containsKey(queue))
            .map(
                queue ->
                    new QueueStatus(
                        queue.usage.workspace,
                        queue.service,
                        waiting.getOrDefault(queue, 0),
                        running.getOrDefault(queue, 0),
                        oldestWaitMillis(queue, nowNanos)))
            .toList());
  }

  /** Returns the progress of a request; empty if it is unknown or has ended. */
  public Optional<RequestProgress> progress(RequestId request, long nowNanos) {
    return Optional.ofNullable(requests.get(request))
        .map(found -> new RequestProgress(found.sent(), found.metadata(0, nowNanos)));
  }

  Limits limits(String workspace) {
    return table.workspace(workspace).map(Workspace::limits).orElse(UNLIMITED);
  }

  double retryShare(String service) {
    return table.service(service).map(ServiceEntry::retryShare).orElse(0.0);
  }

  static long oldestWaitMillis(WaitingQueue queue, long nowNanos) {
    RoutedRequest oldest = queue.oldest();
    return oldest == null ? 0 : (nowNanos - oldest.arrivedNanos) / NANOS_PER_MILLI;
  }
}

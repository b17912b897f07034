package dev.agatepier.core.process.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Requests of one workspace that wait for one service, oldest first. A request is pinned to one
 * sidecar, held for one, kept away from one, or open to all. A hold expires, a pin does not.
 */
final class WaitingQueue {

  /** Weight of the newest observation in moving averages. */
  private static final double NEWEST_WEIGHT = 0.2;

  final String service;
  final WorkspaceUsage use;
  final RetryBudget retries = new RetryBudget();
  final DrainRate drainRate = new DrainRate();

  /** Demand last sent to each sidecar. */
  final Map<String, SentDemand> sentDemand = new HashMap<>();

  /** Order of creation; breaks ties between queues with the same wake time. */
  final long number;

  /** Time of the next call of {@link #advance}. */
  long wakeNanos;

  /** Whether the demand last sent to the sidecars contained waiting requests. */
  boolean advertised;

  private final TreeMap<Long, RoutedRequest> open = new TreeMap<>();
  private final TreeMap<Long, RoutedRequest> spilled = new TreeMap<>();
  private final Map<String, TreeMap<Long, RoutedRequest>> pinned = new HashMap<>();
  private final Map<String, TreeMap<Long, RoutedRequest>> affine = new HashMap<>();
  private final Map<String, TreeMap<Long, RoutedRequest>> avoiding = new HashMap<>();
  private final TreeMap<Long, Map<Long, RoutedRequest>> holds = new TreeMap<>();
  private final long spillNanos;
  private int size;
  private double estimatedCost;

  /**
   * Demand that was sent to a sidecar.
   *
   * @param waiting number of waiting requests; {@link #STALE} if it must be sent again
   * @param oldest sequence number of the oldest request
   */
  record SentDemand(int waiting, long oldest) {
    /** Replaces a value that the sidecar may have changed by itself. */
    static final int STALE = -1;
  }

  WaitingQueue(long number, String service, WorkspaceUsage use, long spillNanos) {
    this.number = number;
    this.service = service;
    this.use = use;
    this.spillNanos = spillNanos;
  }

  int size() {
    return size;
  }

  double estimatedCost() {
    return estimatedCost;
  }

  void observeCost(double cost) {
    estimatedCost =
        estimatedCost == 0 ? cost : estimatedCost + NEWEST_WEIGHT * (cost - estimatedCost);
  }

  /** Adds a request that only the home sidecar of its ticket may run. */
  void addPinned(RoutedRequest request, String sidecar) {
    pinned.computeIfAbsent(sidecar, name -> new TreeMap<>()).put(request.sequence, request);
    size++;
  }

  /** Adds a request that any sidecar may run. */
  void addOpen(RoutedRequest request) {
    request.holdSidecar = "";
    open.put(request.sequence, request);
    size++;
  }

  /** Adds a request that is held for a sidecar until a time. */
  void addAffine(RoutedRequest request, String sidecar, long untilNanos) {
    hold(affine, request, sidecar, untilNanos);
  }

  /** Adds a request that is kept away from a sidecar until a time. */
  void addAvoiding(RoutedRequest request, String sidecar, long untilNanos) {
    hold(avoiding, request, sidecar, untilNanos);
  }

  void remove(RoutedRequest request) {
    size--;
    if (request.ticketed()) {
      removeFrom(pinned, request.call.ticket().get().sidecar(), request);
    } else if (request.holdSidecar.isEmpty()) {
      open.remove(request.sequence);
      spilled.remove(request.sequence);
    } else {
      releaseHold(request);
    }
  }

  /** Ends expired holds, and offers old requests to other regions. */
  void advance(long nowNanos) {
    while (!holds.isEmpty() && holds.firstKey() <= nowNanos) {
      RoutedRequest request = holds.firstEntry().getValue().values().iterator().next();
      releaseHold(request);
      size--;
      addOpen(request);
    }
    while (!open.isEmpty() && open.firstEntry().getValue().arrivedNanos + spillNanos <= nowNanos) {
      Map.Entry<Long, RoutedRequest> oldest = open.pollFirstEntry();
      spilled.put(oldest.getKey(), oldest.getValue());
    }
  }

  /** Returns the time at which the next hold ends or request spills; the maximum value for none. */
  long nextWakeNanos() {
    long holdEnds = holds.isEmpty() ? Long.MAX_VALUE : holds.firstKey();
    RoutedRequest oldest = first(open);
    return oldest == null ? holdEnds : Math.min(holdEnds, oldest.arrivedNanos + spillNanos);
  }

  /**
   * Returns the request that a sidecar should run next, or null: first the oldest one pinned to it,
   * then the oldest one held for it, then the oldest one open to it.
   */
  RoutedRequest pick(String sidecar, boolean sameRegion) {
    RoutedRequest best = first(pinned.get(sidecar));
    if (best == null) {
      best = first(affine.get(sidecar));
    }
    return best == null ? oldestFor(sidecar, sameRegion) : best;
  }

  /** Returns the number of requests that a sidecar may run. */
  int demand(String sidecar, boolean sameRegion) {
    int count = sizeOf(pinned.get(sidecar)) + spilled.size();
    if (sameRegion) {
      count += sizeOf(affine.get(sidecar)) + open.size();
      for (Map.Entry<String, TreeMap<Long, RoutedRequest>> entry : avoiding.entrySet()) {
        count += entry.getKey().equals(sidecar) ? 0 : entry.getValue().size();
      }
    }
    return count;
  }

  /** Returns the sidecars that requests are pinned to or held for. */
  Iterable<String> preferredSidecars() {
    Set<String> names = new TreeSet<>(pinned.keySet());
    names.addAll(affine.keySet());
    return names;
  }

  /** Returns the requests that are pinned to a sidecar. */
  List<RoutedRequest> pinnedTo(String sidecar) {
    TreeMap<Long, RoutedRequest> requests = pinned.get(sidecar);
    return requests == null ? List.of() : List.copyOf(requests.values());
  }

  /** Returns the oldest request, or null. */
  RoutedRequest oldest() {
    RoutedRequest oldest = oldestFor("", true);
    for (TreeMap<Long, RoutedRequest> requests : pinned.values()) {
      oldest = older(oldest, first(requests));
    }
    for (TreeMap<Long, RoutedRequest> requests : affine.values()) {
      oldest = older(oldest, first(requests));
    }
    return oldest;
  }

  private RoutedRequest oldestFor(String sidecar, boolean sameRegion) {
    RoutedRequest oldest = first(spilled);
    if (!sameRegion) {
      return oldest;
    }
    oldest = older(oldest, first(open));
    for (Map.Entry<String, TreeMap<Long, RoutedRequest>> entry : avoiding.entrySet()) {
      if (!entry.getKey().equals(sidecar)) {
        oldest = older(oldest, first(entry.getValue()));
      }
    }
    return oldest;
  }

  private void hold(
      Map<String, TreeMap<Long, RoutedRequest>> bySidecar,
      RoutedRequest request,
      String sidecar,
      long untilNanos) {
    request.holdSidecar = sidecar;
    request.holdUntilNanos = untilNanos;
    bySidecar.computeIfAbsent(sidecar, name -> new TreeMap<>()).put(request.sequence, request);
    holds.computeIfAbsent(untilNanos, time -> new TreeMap<>()).put(request.sequence, request);
    size++;
  }

  private void releaseHold(RoutedRequest request) {
    removeFrom(affine, request.holdSidecar, request);
    removeFrom(avoiding, request.holdSidecar, request);
    Map<Long, RoutedRequest> sameTime = holds.get(request.holdUntilNanos);
    sameTime.remove(request.sequence);
    if (sameTime.isEmpty()) {
      holds.remove(request.holdUntilNanos);
    }
  }

  private static void removeFrom(
      Map<String, TreeMap<Long, RoutedRequest>> bySidecar, String sidecar, RoutedRequest request) {
    TreeMap<Long, RoutedRequest> requests = bySidecar.get(sidecar);
    if (requests != null) {
      requests.remove(request.sequence);
      if (requests.isEmpty()) {
        bySidecar.remove(sidecar);
      }
    }
  }

  private static RoutedRequest older(RoutedRequest one, RoutedRequest other) {
    if (one == null || other == null) {
      return one == null ? other : one;
    }
    return one.sequence < other.sequence ? one : other;
  }

  private static RoutedRequest first(TreeMap<Long, RoutedRequest> requests) {
    return requests == null || requests.isEmpty() ? null : requests.firstEntry().getValue();
  }

  private static int sizeOf(TreeMap<Long, RoutedRequest> requests) {
    return requests == null ? 0 : requests.size();
  }
}

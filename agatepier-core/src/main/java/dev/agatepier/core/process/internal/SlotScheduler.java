package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the next waiting request and the upstream that serves it: the workspace in fair order,
 * within it the request with the earliest due time that can still meet its objective, and the
 * upstream with the lowest score. Requests that cannot meet their objective come last.
 */
final class SlotScheduler {

  /** Maximum number of requests of one workspace that are tried before the next workspace. */
  private static final int MAX_TRIED = 4;

  /**
   * Weight of the backlog of an upstream relative to its work for the request. A wait within the
   * objective costs nothing, but work delays every later request.
   */
  private static final double BACKLOG_WEIGHT = 0.3;

  /** Score added for an upstream whose requests all fail, in milliseconds. */
  private static final double FAILURE_MILLIS = 1_000;

  /** Share of the usual backlog allowed for requests that cannot meet their objective. */
  private static final double LATE_BACKLOG_SHARE = 0.25;

  /** Delay assumed for a service without a usable upstream, in milliseconds. */
  private static final double NO_UPSTREAM_MILLIS = 5_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;
  private final Collection<UpstreamLoad> upstreams;
  private final AllocatorRegions regions;

  /** Upstream whose memory is left to the first underserved request that waits for it; or null. */
  private UpstreamLoad reserved;

  /**
   * A request and the upstream that it is assigned to.
   *
   * @param entry the request
   * @param upstream the upstream whose slot it gets
   */
  record Assignment(WaitingEntry entry, UpstreamLoad upstream) {}

  SlotScheduler(
      SlotRule rule,
      WorkspaceLedger ledger,
      WaitingRequests waiting,
      Collection<UpstreamLoad> upstreams,
      AllocatorRegions regions) {
    this.regions = regions;
    this.rule = rule;
    this.ledger = ledger;
    this.waiting = waiting;
    this.upstreams = upstreams;
  }

  /** Returns the next assignment, or null if no waiting request can be served now. */
  Assignment next(long nowNanos) {
    reserved = null;
    Assignment timely = nextAssignment(true, nowNanos);
    return timely == null ? nextAssignment(false, nowNanos) : timely;
  }

  /**
   * Returns the requests that will miss their objective by more than the tolerance.
   *
   * @param lateMillis tolerated lateness, in milliseconds
   */
  List<WaitingEntry> overdue(long lateMillis, long nowNanos) {
    List<WaitingEntry> overdue = new ArrayList<>();
    for (WaitingEntry entry : waiting.all()) {
      estimateWork(entry, nowNanos);
      long lateNanos =
          nowNanos
              + (long) ((entry.countedMillis(entry.workMillis) - lateMillis) * NANOS_PER_MILLI)
              - entry.dueNanos;
      if (lateNanos > 0) {
        overdue.add(entry);
      }
    }
    return overdue;
  }

  /** Updates the work of a request to what it takes at the upstream that is best for it now. */
  void estimateWork(WaitingEntry entry, long nowNanos) {
    entry.workMillis = minFirstByteMillis(entry, nowNanos);
  }

  /**
   * Returns whether a new request, whose work is estimated, cannot meet its objective behind those
   * already waiting.
   */
  boolean cannotMeetObjective(WaitingEntry entry, long nowNanos) {
    double ownMillis = entry.countedMillis(entry.workMillis);
    return !waiting.isEmpty()
        && !entry.meetsObjective(waitAheadMillis(entry, nowNanos) + ownMillis, nowNanos);
  }

  /** Returns whether a request, whose work is estimated, would be in time if no other waited. */
  boolean meetsObjectiveAlone(WaitingEntry entry, long nowNanos) {
    return entry.meetsObjective(entry.countedMillis(entry.workMillis), nowNanos);
  }

  /**
   * Returns the expected time until the response to a request, whose work is estimated, starts, in
   * milliseconds.
   */
  double expectedMillis(WaitingEntry entry, long nowNanos) {
    return waitAheadMillis(entry, nowNanos) + entry.workMillis;
  }

  /** Returns the expected time until a request that arrives now gets a slot, in milliseconds. */
  double delayMillis(long nowNanos) {
    double work = 0;
    for (WaitingEntry entry : waiting.all()) {
      work += entry.workMillis;
    }
    return delayBehind(work, AllowedRegions.ALL, nowNanos);
  }

  /** Returns the expected wait behind the requests that precede one in fair order. */
  private double waitAheadMillis(WaitingEntry entry, long nowNanos) {
    if (waiting.isEmpty()) {
      return 0;
    }
    boolean everywhere =
        entry.allowedRegions.all()
            || countUsable(entry.allowedRegions, nowNanos)
                == countUsable(AllowedRegions.ALL, nowNanos);
    Map<AllowedRegions, Double> sharedParts = everywhere ? Map.of() : new HashMap<>();
    double ownService = ledger.account(entry.workspace()).virtualService();
    double work = 0;
    for (WaitingEntry other : waiting.all()) {
      boolean sameWorkspace = other.workspace().equals(entry.workspace());
      boolean before =
          sameWorkspace
              ? other.dueNanos <= entry.dueNanos
              : ledger.account(other.workspace()).virtualService() <= ownService;
      if (before) {
        work +=
            everywhere
                ? other.workMillis
                : other.workMillis
                    * sharedParts.computeIfAbsent(
                        other.allowedRegions, allowed -> sharedPart(entry, allowed, nowNanos));
      }
    }
    return delayBehind(work, entry.allowedRegions, nowNanos);
  }

  /**
   * Returns the part of the work of other requests that is done on the upstreams of one, if it is
   * divided evenly among those that the others may use.
   */
  private double sharedPart(WaitingEntry entry, AllowedRegions ofOthers, long nowNanos) {
    double usable = countUsable(ofOthers, nowNanos);
    AllowedRegions common = entry.allowedRegions.and(ofOthers);
    return usable == 0 ? 0 : countUsable(common, nowNanos) / usable;
  }

  /** Returns the number of usable upstreams in the permitted regions. */
  private int countUsable(AllowedRegions allowed, long nowNanos) {
    int usable = 0;
    for (UpstreamLoad upstream : upstreams) {
      usable += usable(upstream, allowed, nowNanos) ? 1 : 0;
    }
    return usable;
  }

  /** Returns the wait behind work spread over the usable upstreams, including their backlog. */
  private double delayBehind(double work, AllowedRegions allowed, long nowNanos) {
    double backlog = 0;
    int usable = 0;
    for (UpstreamLoad upstream : upstreams) {
      if (usable(upstream, allowed, nowNanos)) {
        usable++;
        backlog += rule.backlogMillis(upstream, nowNanos);
      }
    }
    return usable == 0 ? NO_UPSTREAM_MILLIS : (work + backlog) / (usable * rule.parallelism());
  }

  private Assignment nextAssignment(boolean timely, long nowNanos) {
    double share = timely ? 1 : LATE_BACKLOG_SHARE;
    if (upstreams.stream().noneMatch(upstream -> ready(upstream, share, nowNanos))) {
      return null;
    }
    Map<AllowedRegions, Boolean> readyRegions = new HashMap<>();
    for (WorkspaceAccount account : ledger.waitingInOrder()) {
      int tried = 0;
      for (WaitingEntry entry : waiting.ofWorkspace(account.name())) {
        if (!entry.allowedRegions.all()
            && !readyRegions.computeIfAbsent(
                entry.allowedRegions, allowed -> anyReady(allowed, share, nowNanos))) {
          // Must not keep later ones of its workspace from regions that have capacity.
          continue;
        }
        boolean meetsObjective =
            entry.meetsObjective(
                entry.countedMillis(minFirstByteMillis(entry, nowNanos)), nowNanos);
        if (meetsObjective != timely) {
          continue;
        }
        if (++tried > MAX_TRIED) {
          break;
        }
        UpstreamLoad upstream = selectUpstream(entry, share, timely, nowNanos);
        if (upstream != null) {
          return new Assignment(entry, upstream);
        }
        if (reserved == null && entry.call.underserved()) {
          reserved = selectForMemory(entry, nowNanos);
        }
      }
    }
    return null;
  }

  /**
   * Returns the upstream with the lowest score, which also meets the objective if {@code timely};
   * null if there is none or if it accepts no more backlog now.
   */
  private UpstreamLoad selectUpstream(
      WaitingEntry entry, double share, boolean timely, long nowNanos) {
    UpstreamLoad best = null;
    double bestScore = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (upstream == reserved
          || !usable(upstream, entry.allowedRegions, nowNanos)
          || !rule.hasCapacity(upstream, entry.call)) {
        continue;
      }
      double backlog = rule.backlogMillis(upstream, nowNanos);
      double firstByte = rule.firstByteMillis(upstream, entry.call);
      double score =
          BACKLOG_WEIGHT * backlog
              + rule.workMillis(upstream, entry.call)
              + penalty(upstream, entry);
      double counted = entry.countedMillis(backlog + firstByte);
      if (score < bestScore && (!timely || entry.meetsObjective(counted, nowNanos))) {
        best = upstream;
        bestScore = score;
      }
    }
    return best != null && rule.acceptsBacklog(best, share, nowNanos) ? best : null;
  }

  /**
   * Returns the upstream that will have enough memory for a request first if no other is sent to
   * it; null if an upstream has enough now.
   */
  private UpstreamLoad selectForMemory(WaitingEntry entry, long nowNanos) {
    return countWithCapacity(entry, nowNanos) > 0
        ? null
        : upstreams.stream()
            .filter(upstream -> usable(upstream, entry.allowedRegions, nowNanos))
            .min(Comparator.comparingLong(UpstreamLoad::runningTokens))
            .orElse(null);
  }

  private static double penalty(UpstreamLoad upstream, WaitingEntry entry) {
    boolean avoided = upstream.upstream.name().equals(entry.call.avoidedUpstream());
    return FAILURE_MILLIS * (upstream.health.failureShare() + (avoided ? 1 : 0));
  }

  /** Returns the number of usable upstreams that have a free slot and memory for a request. */
  int countWithCapacity(WaitingEntry entry, long nowNanos) {
    return (int)
        upstreams.stream()
            .filter(
                upstream ->
                    usable(upstream, entry.allowedRegions, nowNanos)
                        && rule.hasCapacity(upstream, entry.call))
            .count();
  }

  /** Returns the time to the first byte at the best upstream without backlog, in milliseconds. */
  private double minFirstByteMillis(WaitingEntry entry, long nowNanos) {
    double min = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (usable(upstream, entry.allowedRegions, nowNanos)) {
        min = Math.min(min, rule.firstByteMillis(upstream, entry.call));
      }
    }
    return min == Double.MAX_VALUE ? 0 : min;
  }

  private boolean ready(UpstreamLoad upstream, double share, long nowNanos) {
    return usable(upstream, nowNanos)
        && upstream.freeSlots() > 0
        && rule.acceptsBacklog(upstream, share, nowNanos);
  }

  /** Returns whether any upstream in the permitted regions is ready. */
  private boolean anyReady(AllowedRegions allowed, double share, long nowNanos) {
    for (UpstreamLoad upstream : upstreams) {
      if (regions.permits(allowed, upstream.upstream.dataCentre())
          && ready(upstream, share, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the waiting requests that may run on no upstream here. */
  List<WaitingEntry> unpermitted() {
    return waiting.all().stream().filter(this::isUnpermitted).toList();
  }

  /** Returns whether a request may run on none of the upstreams here that are not leaving. */
  boolean isUnpermitted(WaitingEntry entry) {
    return !entry.allowedRegions.all()
        && upstreams.stream()
            .noneMatch(
                upstream -> !upstream.upstream.leaving() && regions.permits(entry, upstream));
  }

  private boolean usable(UpstreamLoad upstream, AllowedRegions allowed, long nowNanos) {
    return usable(upstream, nowNanos) && regions.permits(allowed, upstream.upstream.dataCentre());
  }

  private static boolean usable(UpstreamLoad upstream, long nowNanos) {
    return !upstream.upstream.leaving()
        && !upstream.stalled
        && !upstream.health.isEjected(nowNanos);
  }
}

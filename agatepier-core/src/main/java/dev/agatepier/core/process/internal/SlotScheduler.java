package dev.agatepier.core.process.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Chooses which waiting request gets which slot next: the workspace by the fair order, of its
 * requests the one that is due first and can still be in time, and the upstream at which its answer
 * takes the least work. Requests that can no longer be in time come after all others.
 */
final class SlotScheduler {

  /** Requests of one workspace that are looked at when the first of them find no room. */
  private static final int MOST_TRIED = 4;

  /**
   * Weight of the wait at an upstream against its work for the request: a wait that is still in
   * time costs nobody anything, but work takes time from everybody who comes after.
   */
  private static final double BACKLOG_WEIGHT = 0.3;

  /** Milliseconds that stand for an upstream whose requests all fail. */
  private static final double FAILURE_MILLIS = 1_000;

  /** Part of the usual backlog that is allowed to requests that are late already. */
  private static final double LATE_BACKLOG_SHARE = 0.25;

  /** Delay that stands for a service without any usable upstream, in milliseconds. */
  private static final double NOWHERE_MILLIS = 5_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final WaitingRequests board;
  private final Collection<UpstreamLoad> upstreams;

  /**
   * One request and the upstream that it gets a slot of.
   *
   * @param entry the request
   * @param upstream the upstream
   */
  record Assignment(WaitingEntry entry, UpstreamLoad upstream) {}

  SlotScheduler(
      SlotRule rule,
      WorkspaceLedger ledger,
      WaitingRequests board,
      Collection<UpstreamLoad> upstreams) {
    this.rule = rule;
    this.ledger = ledger;
    this.board = board;
    this.upstreams = upstreams;
  }

  /** Returns the next grant, or null if nothing that waits finds room. */
  Assignment next(long nowNanos) {
    Assignment timely = nextOf(true, nowNanos);
    return timely == null ? nextOf(false, nowNanos) : timely;
  }

  /**
   * Returns the requests that cannot be in time any more.
   *
   * @param lateMillis how long each may wait on nevertheless, in milliseconds
   */
  List<WaitingEntry> overdue(long lateMillis, long nowNanos) {
    List<WaitingEntry> overdue = new ArrayList<>();
    for (WaitingEntry entry : board.all()) {
      double least = leastMillis(entry, nowNanos);
      long lateNanos = nowNanos + (long) ((least - lateMillis) * NANOS_PER_MILLI) - entry.dueNanos;
      if (lateNanos > 0) {
        overdue.add(entry);
      }
    }
    return overdue;
  }

  /** Returns whether a request that has just come cannot be in time behind those before it. */
  boolean cannotMeetObjective(WaitingEntry entry, long nowNanos) {
    return !board.isEmpty() && !entry.meetsObjective(expectedMillis(entry, nowNanos), nowNanos);
  }

  /** Returns the expected time until the answer to a request begins, in milliseconds. */
  double expectedMillis(WaitingEntry entry, long nowNanos) {
    return aheadMillis(entry, nowNanos) + leastMillis(entry, nowNanos);
  }

  /** Returns the expected time until a request that asks now has its slot, in milliseconds. */
  double delayMillis(long nowNanos) {
    double work = 0;
    for (WaitingEntry entry : board.all()) {
      work += leastMillis(entry, nowNanos);
    }
    return delayBehind(work, nowNanos);
  }

  /** Returns the expected wait behind what comes before a request in the fair order. */
  private double aheadMillis(WaitingEntry entry, long nowNanos) {
    if (board.isEmpty()) {
      return 0;
    }
    double own = ledger.account(entry.workspace()).virtualService();
    double work = 0;
    for (WaitingEntry other : board.all()) {
      boolean same = other.workspace().equals(entry.workspace());
      boolean before =
          same
              ? other.dueNanos <= entry.dueNanos
              : ledger.account(other.workspace()).virtualService() <= own;
      work += before ? leastMillis(other, nowNanos) : 0;
    }
    return delayBehind(work, nowNanos);
  }

  /** Returns the wait behind work that all usable upstreams share, beside what they have. */
  private double delayBehind(double work, long nowNanos) {
    double backlog = 0;
    int usable = 0;
    for (UpstreamLoad upstream : upstreams) {
      if (usable(upstream, nowNanos)) {
        usable++;
        backlog += rule.backlogMillis(upstream, nowNanos);
      }
    }
    return usable == 0 ? NOWHERE_MILLIS : (work + backlog) / (usable * rule.parallelism());
  }

  private Assignment nextOf(boolean timely, long nowNanos) {
    double share = timely ? 1 : LATE_BACKLOG_SHARE;
    if (upstreams.stream().noneMatch(upstream -> ready(upstream, share, nowNanos))) {
      return null;
    }
    for (WorkspaceAccount account : ledger.waitingInOrder()) {
      int tried = 0;
      for (WaitingEntry entry : board.ofWorkspace(account.name())) {
        boolean hopeful = entry.meetsObjective(leastMillis(entry, nowNanos), nowNanos);
        if (hopeful != timely) {
          continue;
        }
        if (++tried > MOST_TRIED) {
          break;
        }
        UpstreamLoad upstream = cheapest(entry, share, timely, nowNanos);
        if (upstream != null) {
          return new Assignment(entry, upstream);
        }
      }
    }
    return null;
  }

  /**
   * Returns the upstream that serves a request in time with the least work; null if there is none
   * now or if it is better to wait for one.
   */
  private UpstreamLoad cheapest(WaitingEntry entry, double share, boolean timely, long nowNanos) {
    UpstreamLoad best = null;
    double bestWeight = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (!usable(upstream, nowNanos) || !rule.hasCapacity(upstream, entry.call)) {
        continue;
      }
      double backlog = rule.backlogMillis(upstream, nowNanos);
      double own = rule.firstByteMillis(upstream, entry.call);
      double weight =
          BACKLOG_WEIGHT * backlog
              + rule.workMillis(upstream, entry.call)
              + penalty(upstream, entry);
      if (weight < bestWeight && (!timely || entry.meetsObjective(backlog + own, nowNanos))) {
        best = upstream;
        bestWeight = weight;
      }
    }
    return best != null && rule.acceptsBacklog(best, share, nowNanos) ? best : null;
  }

  private static double penalty(UpstreamLoad upstream, WaitingEntry entry) {
    boolean avoided = upstream.upstream.name().equals(entry.call.avoidedUpstream());
    return FAILURE_MILLIS * (upstream.health.failureShare() + (avoided ? 1 : 0));
  }

  private double leastMillis(WaitingEntry entry, long nowNanos) {
    double least = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (usable(upstream, nowNanos)) {
        least = Math.min(least, rule.firstByteMillis(upstream, entry.call));
      }
    }
    return least == Double.MAX_VALUE ? 0 : least;
  }

  private boolean ready(UpstreamLoad upstream, double share, long nowNanos) {
    return usable(upstream, nowNanos)
        && upstream.freeSlots() > 0
        && rule.acceptsBacklog(upstream, share, nowNanos);
  }

  private static boolean usable(UpstreamLoad upstream, long nowNanos) {
    return !upstream.upstream.leaving()
        && !upstream.stalled
        && !upstream.health.isEjected(nowNanos);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.Room;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the next waiting request and the upstream that serves it: the workspace in fair order,
 * within it the first request that can still meet its objective, streams that go on before new
 * ones, and the upstream with the lowest score. Requests that cannot meet their objective come
 * last; among them those whose callers have kept to their retry time come first, and those that
 * were late on their arrival last.
 */
final class SlotScheduler {

  /** Maximum number of requests of one workspace that are tried before the next workspace. */
  private static final int MAX_TRIED = 4;

  /**
   * Weight of the backlog of an upstream relative to its work for the request. A wait within the
   * objective costs nothing, but work delays every later request.
   */
  private static final double BACKLOG_WEIGHT = 0.3;

  /**
   * The same weight where the estimate of the load counts: least expected time. It leaves engines
   * idle less often while others have a queue; docs/design/even-load.md has the figures.
   */
  private static final double ESTIMATED_BACKLOG_WEIGHT = 1;

  /** Score added for an upstream whose requests all fail, in milliseconds. */
  private static final double FAILURE_MILLIS = 1_000;

  /** Share of the usual backlog allowed for requests that cannot meet their objective. */
  private static final double LATE_BACKLOG_SHARE = 0.25;

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;
  private final UsableUpstreams upstreams;
  private final ColdUpstreams coldUpstreams;
  private final WaitEstimates waits;
  private final UpstreamChoice choice;

  /** Whether any upstream that meets requirements is ready, as far as one selection has asked. */
  private final Map<UpstreamRequirements, Boolean> ready = new HashMap<>();

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
      UsableUpstreams upstreams,
      ColdUpstreams coldUpstreams,
      WaitEstimates waits,
      UpstreamChoice choice) {
    this.rule = rule;
    this.ledger = ledger;
    this.waiting = waiting;
    this.upstreams = upstreams;
    this.coldUpstreams = coldUpstreams;
    this.waits = waits;
    this.choice = choice;
  }

  /** Returns the next assignment, or null if no waiting request can be served now. */
  Assignment next(long nowNanos) {
    reserved = null;
    Assignment timely = nextAssignment(true, false, nowNanos);
    if (timely != null) {
      return timely;
    }
    boolean anyKept = waiting.all().stream().anyMatch(WaitingEntry::keptRetryTime);
    Assignment kept = anyKept ? nextAssignment(false, true, nowNanos) : null;
    return kept == null ? nextAssignment(false, false, nowNanos) : kept;
  }

  private Assignment nextAssignment(boolean timely, boolean keptOnly, long nowNanos) {
    double share = timely ? 1 : LATE_BACKLOG_SHARE;
    if (upstreams.all().stream().noneMatch(upstream -> ready(upstream, share, nowNanos))) {
      return null;
    }
    Assignment cheapestCold = null;
    double cheapestMillis = Double.MAX_VALUE;
    ready.clear();
    for (WorkspaceAccount account : ledger.waitingInOrder()) {
      int tried = 0;
      for (WaitingEntry entry : waiting.ofWorkspace(account.name())) {
        if (!entry.requirements.none()
            && !ready.computeIfAbsent(
                entry.requirements, required -> anyReady(required, share, nowNanos))) {
          // Must not keep later ones of its workspace from upstreams that have capacity.
          continue;
        }
        boolean meetsObjective =
            !entry.late
                && entry.meetsObjective(
                    entry.countedMillis(upstreams.minFirstByteMillis(entry, nowNanos))
                        + waits.marginMillis(entry),
                    nowNanos);
        if (meetsObjective != timely || keptOnly && !entry.keptRetryTime()) {
          continue;
        }
        if (++tried > MAX_TRIED) {
          break;
        }
        UpstreamLoad upstream = selectUpstream(entry, share, timely, nowNanos);
        if (upstream != null) {
          return new Assignment(entry, upstream);
        }
        UpstreamLoad cold = selectCold(entry, share, timely, nowNanos);
        if (cold != null && rule.workMillis(cold, entry.call) < cheapestMillis) {
          cheapestMillis = rule.workMillis(cold, entry.call);
          cheapestCold = new Assignment(entry, cold);
        }
        if (reserved == null && entry.call.underserved()) {
          reserved = selectForMemory(entry, nowNanos);
        }
      }
    }
    return cheapestCold;
  }

  /**
   * Returns the cold upstream with the least work for a request, which also meets the objective if
   * {@code timely}; null if none may get it. Cold upstreams get what the others can't take now.
   */
  private UpstreamLoad selectCold(WaitingEntry entry, double share, boolean timely, long nowNanos) {
    if (!coldUpstreams.limited()) {
      return null;
    }
    UpstreamLoad best = null;
    double bestScore = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams.all()) {
      if (!coldUpstreams.isCold(upstream, nowNanos)
          || !upstreams.isGrantable(upstream, entry, nowNanos)
          || !ready(upstream, share, nowNanos)
          || !rule.hasCapacity(upstream, entry.call, nowNanos)) {
        continue;
      }
      double backlog =
          Math.max(
              rule.backlogMillis(upstream, nowNanos),
              upstream.pending() * coldUpstreams.requestMillis());
      double counted =
          entry.countedMillis(backlog + upstreams.firstByteMillis(upstream, entry, nowNanos));
      double score = rule.workMillis(upstream, entry.call) + penalty(upstream, entry);
      if (score < bestScore && (!timely || entry.meetsObjective(counted, nowNanos))) {
        best = upstream;
        bestScore = score;
      }
    }
    return best;
  }

  /**
   * Returns the upstream that is not cold with the lowest score, which also meets the objective if
   * {@code timely}; null if there is none or if it accepts no more backlog now.
   */
  private UpstreamLoad selectUpstream(
      WaitingEntry entry, double share, boolean timely, long nowNanos) {
    List<UpstreamChoice.Candidate> candidates = new ArrayList<>();
    for (UpstreamLoad upstream : upstreams.all()) {
      if (upstream == reserved
          || !upstreams.isGrantable(upstream, entry, nowNanos)
          || coldUpstreams.isCold(upstream, nowNanos)) {
        continue;
      }
      Room room = rule.room(upstream, nowNanos);
      if (!room.holds(rule.neededTokens(upstream, entry.call))) {
        continue;
      }
      double backlog = room.workMillis();
      double firstByte = rule.firstByteMillis(upstream, entry.call);
      double score =
          backlogWeight(upstream) * backlog
              + rule.workMillis(upstream, entry.call)
              + rule.delayCostMillis(upstream, entry.call)
              + penalty(upstream, entry);
      double counted = entry.countedMillis(backlog + firstByte) + waits.marginMillis(entry);
      if (!timely || entry.meetsObjective(counted, nowNanos)) {
        candidates.add(new UpstreamChoice.Candidate(upstream, backlog, score));
      }
    }
    UpstreamChoice.Candidate chosen = choice.choose(entry, candidates, nowNanos);
    return chosen != null
            && acceptsBacklog(chosen.upstream(), share, nowNanos)
            && rule.permitsStart(chosen.upstream(), entry.call, nowNanos)
        ? chosen.upstream()
        : null;
  }

  /**
   * Returns the upstream that will have enough memory for a request first if no other is sent to
   * it; null if an upstream has enough now.
   */
  private UpstreamLoad selectForMemory(WaitingEntry entry, long nowNanos) {
    return upstreams.countWithCapacity(entry, nowNanos) > 0
        ? null
        : upstreams.all().stream()
            .filter(upstream -> upstreams.isGrantable(upstream, entry, nowNanos))
            .filter(upstream -> !coldUpstreams.isCold(upstream, nowNanos))
            .min(Comparator.comparingLong(UpstreamLoad::runningTokens))
            .orElse(null);
  }

  private static double backlogWeight(UpstreamLoad upstream) {
    return upstream.usesEstimate() ? ESTIMATED_BACKLOG_WEIGHT : BACKLOG_WEIGHT;
  }

  private double penalty(UpstreamLoad upstream, WaitingEntry entry) {
    boolean avoided = upstream.upstream.name().equals(entry.call.avoidedUpstream());
    return rule.failureMillis(upstream, FAILURE_MILLIS) + (avoided ? FAILURE_MILLIS : 0);
  }

  private boolean ready(UpstreamLoad upstream, double share, long nowNanos) {
    return UsableUpstreams.isUsable(upstream, nowNanos)
        && upstream.freeSlots() > 0
        && (coldUpstreams.isCold(upstream, nowNanos)
            ? coldUpstreams.permits(upstream, nowNanos)
                && rule.acceptsBacklog(upstream, share, nowNanos)
            : acceptsBacklog(upstream, share, nowNanos));
  }

  private boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos) {
    return rule.acceptsBacklog(
        upstream, share * coldUpstreams.backlogShare(upstream, nowNanos), nowNanos);
  }

  /** Returns whether any permitted upstream is ready. */
  private boolean anyReady(UpstreamRequirements requirements, double share, long nowNanos) {
    for (UpstreamLoad upstream : upstreams.all()) {
      if (upstreams.isPermitted(upstream, requirements) && ready(upstream, share, nowNanos)) {
        return true;
      }
    }
    return false;
  }
}

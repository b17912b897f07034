package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the next waiting request and the upstream that serves it: the workspace in fair order,
 * within it the request with the earliest due time that can still meet its objective, and the
 * upstream with the lowest score. Requests that cannot meet their objective come last, and among
 * them those that were late on their arrival.
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

  /** Delay assumed for a service without a usable upstream, in milliseconds. */
  private static final double NO_UPSTREAM_MILLIS = 5_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final SlotRule rule;
  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;
  private final Collection<UpstreamLoad> upstreams;
  private final ColdUpstreams coldUpstreams;
  private final UpstreamChoice choice;

  private final AdmissionRules rules;

  /** Time that all waiting requests take, spread over the usable upstreams, in milliseconds. */
  private double queueMillis;

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
      ColdUpstreams coldUpstreams,
      UpstreamChoice choice,
      AdmissionRules rules) {
    this.rule = rule;
    this.ledger = ledger;
    this.waiting = waiting;
    this.upstreams = upstreams;
    this.coldUpstreams = coldUpstreams;
    this.choice = choice;
    this.rules = rules;
  }

  /** Returns the next assignment, or null if no waiting request can be served now. */
  Assignment next(long nowNanos) {
    reserved = null;
    queueMillis = rules.spreads() ? queueMillis(nowNanos) : 0;
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
              + (long)
                  ((entry.countedMillis(entry.workMillis) + marginMillis(entry) - lateMillis)
                      * NANOS_PER_MILLI)
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
        && !entry.meetsObjective(
            waitAheadMillis(entry, nowNanos) + ownMillis + marginMillis(entry), nowNanos);
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
    return delayBehind(work, waiting.size(), nowNanos);
  }

  /** Returns the margin that a prediction for a request needs, in milliseconds. */
  private double marginMillis(WaitingEntry entry) {
    return entry.late ? 0 : rules.error().marginMillis();
  }

  /** Returns the expected wait behind the requests that precede one. */
  private double waitAheadMillis(WaitingEntry entry, long nowNanos) {
    if (waiting.isEmpty()) {
      return 0;
    }
    double work = 0;
    int ahead = 0;
    for (WaitingEntry other : waiting.all()) {
      boolean before = rules.order().precedes(other, entry);
      work += before ? other.workMillis : 0;
      ahead += before ? 1 : 0;
    }
    return delayBehind(work, ahead, nowNanos);
  }

  /** Returns the measured capacity of the usable upstreams; empty if no estimate of load counts. */
  Optional<MeasuredCapacity> measuredCapacity(long nowNanos) {
    List<UpstreamLoad> usable =
        upstreams.stream().filter(upstream -> usable(upstream, nowNanos)).toList();
    return usable.stream().anyMatch(UpstreamLoad::usesEstimate)
        ? Optional.of(rule.capacity(usable))
        : Optional.empty();
  }

  /**
   * Returns the wait behind work spread over all usable upstreams, including their backlog. Cold
   * ones count only if no other is left: then their rate is what limits the requests.
   */
  private double delayBehind(double work, int requests, long nowNanos) {
    double backlog = 0;
    int usable = 0;
    int cold = 0;
    for (UpstreamLoad upstream : upstreams) {
      if (!usable(upstream, nowNanos)) {
        continue;
      }
      if (coldUpstreams.isCold(upstream, nowNanos)) {
        cold++;
      } else {
        usable++;
        backlog += rule.backlogMillis(upstream, nowNanos);
      }
    }
    if (usable == 0) {
      return cold == 0 ? NO_UPSTREAM_MILLIS : requests * coldUpstreams.grantMillis() / cold;
    }
    return (work + backlog) / (usable * rule.parallelism());
  }

  private Assignment nextAssignment(boolean timely, long nowNanos) {
    double share = timely ? 1 : LATE_BACKLOG_SHARE;
    if (upstreams.stream().noneMatch(upstream -> ready(upstream, share, nowNanos))) {
      return null;
    }
    Assignment cheapestCold = null;
    double cheapestMillis = Double.MAX_VALUE;
    for (WorkspaceAccount account : rules.order().workspaces()) {
      int tried = 0;
      for (WaitingEntry entry : rules.order().entries(account.name())) {
        boolean meetsObjective =
            !entry.late
                && entry.meetsObjective(
                    entry.countedMillis(minFirstByteMillis(entry, nowNanos)) + marginMillis(entry),
                    nowNanos);
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
    for (UpstreamLoad upstream : upstreams) {
      if (!coldUpstreams.isCold(upstream, nowNanos)
          || !ready(upstream, share, nowNanos)
          || !rule.hasCapacity(upstream, entry.call)) {
        continue;
      }
      double backlog =
          Math.max(
              rule.backlogMillis(upstream, nowNanos),
              upstream.pending() * coldUpstreams.requestMillis());
      double counted = entry.countedMillis(backlog + firstByteMillis(upstream, entry, nowNanos));
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
    for (UpstreamLoad upstream : upstreams) {
      if (upstream == reserved
          || !usable(upstream, entry, nowNanos)
          || coldUpstreams.isCold(upstream, nowNanos)
          || !rule.hasCapacity(upstream, entry.call)) {
        continue;
      }
      double backlog = rule.backlogMillis(upstream, nowNanos);
      double firstByte = rule.firstByteMillis(upstream, entry.call);
      double score =
          backlogWeight(upstream) * backlog
              + rule.workMillis(upstream, entry.call)
              + rule.delayCostMillis(upstream, entry.call)
              + penalty(upstream, entry);
      double counted = entry.countedMillis(backlog + firstByte) + marginMillis(entry);
      if (!timely || entry.meetsObjective(counted, nowNanos)) {
        candidates.add(new UpstreamChoice.Candidate(upstream, backlog, score));
      }
    }
    UpstreamChoice.Candidate best = choice.choose(entry, candidates);
    if (best == null || accepts(best, entry, share, nowNanos)) {
      return best == null ? null : best.upstream();
    }
    if (!rules.spreads()) {
      return null;
    }
    candidates.removeIf(candidate -> !accepts(candidate, entry, share, nowNanos));
    UpstreamChoice.Candidate accepting = choice.choose(entry, candidates);
    return accepting != null && accepting.score() - best.score() <= queueMillis
        ? accepting.upstream()
        : null;
  }

  private boolean accepts(
      UpstreamChoice.Candidate candidate, WaitingEntry entry, double share, long nowNanos) {
    return acceptsBacklog(candidate.upstream(), share, nowNanos)
        && rule.permitsStart(candidate.upstream(), entry.call, nowNanos);
  }

  /** Returns the time that all waiting requests take, spread over the usable upstreams. */
  private double queueMillis(long nowNanos) {
    double work = 0;
    for (WaitingEntry entry : waiting.all()) {
      work += entry.workMillis;
    }
    long usable = upstreams.stream().filter(upstream -> usable(upstream, nowNanos)).count();
    return work / Math.max(1, usable * rule.parallelism());
  }

  /**
   * Returns the upstream that will have enough memory for a request first if no other is sent to
   * it; null if an upstream has enough now.
   */
  private UpstreamLoad selectForMemory(WaitingEntry entry, long nowNanos) {
    return countWithCapacity(entry, nowNanos) > 0
        ? null
        : upstreams.stream()
            .filter(upstream -> usable(upstream, entry, nowNanos))
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

  /** Returns the number of usable upstreams that have a free slot and memory for a request. */
  int countWithCapacity(WaitingEntry entry, long nowNanos) {
    return (int)
        upstreams.stream()
            .filter(
                upstream ->
                    usable(upstream, entry, nowNanos) && rule.hasCapacity(upstream, entry.call))
            .count();
  }

  /** Returns the time to the first byte at the best upstream without backlog, in milliseconds. */
  private double minFirstByteMillis(WaitingEntry entry, long nowNanos) {
    double min = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (usable(upstream, entry, nowNanos)) {
        min = Math.min(min, firstByteMillis(upstream, entry, nowNanos));
      }
    }
    return min == Double.MAX_VALUE ? 0 : min;
  }

  /** Returns the time to the first byte without backlog, which is longer at a cold upstream. */
  private double firstByteMillis(UpstreamLoad upstream, WaitingEntry entry, long nowNanos) {
    double millis = rule.firstByteMillis(upstream, entry.call);
    return coldUpstreams.isCold(upstream, nowNanos)
        ? Math.max(millis, coldUpstreams.requestMillis())
        : millis;
  }

  private boolean ready(UpstreamLoad upstream, double share, long nowNanos) {
    return usable(upstream, nowNanos)
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

  private static boolean usable(UpstreamLoad upstream, WaitingEntry entry, long nowNanos) {
    return upstream.availability(entry.router).state(nowNanos).usable();
  }

  private static boolean usable(UpstreamLoad upstream, long nowNanos) {
    return upstream.availability().state(nowNanos).usable();
  }
}

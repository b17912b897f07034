package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.Room;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates how long requests wait for a slot, and which of them cannot meet their objective. The
 * wait of a request counts the upstreams that it may use only.
 */
final class WaitEstimates {

  /** Delay assumed for a service without a usable upstream, in milliseconds. */
  private static final double NO_UPSTREAM_MILLIS = 5_000;

  private static final double NANOS_PER_MILLI = 1e6;

  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;
  private final UsableUpstreams upstreams;
  private final ColdUpstreams coldUpstreams;

  private final PredictionError error;
  private final RetryPromises promises;

  WaitEstimates(
      WorkspaceLedger ledger,
      WaitingRequests waiting,
      UsableUpstreams upstreams,
      ColdUpstreams coldUpstreams,
      PredictionError error,
      RetryPromises promises) {
    this.ledger = ledger;
    this.waiting = waiting;
    this.upstreams = upstreams;
    this.coldUpstreams = coldUpstreams;
    this.error = error;
    this.promises = promises;
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
    entry.workMillis = upstreams.minFirstByteMillis(entry, nowNanos);
  }

  /**
   * Returns whether a new request, whose work is estimated, cannot meet its objective behind those
   * already waiting and the work that others were promised. One that was promised capacity itself,
   * or that continues a stream, has to be in time on its own only: it can use a part of the
   * upstreams only, and what its caller has received is lost if it is rejected.
   */
  boolean cannotMeetObjective(WaitingEntry entry, long nowNanos) {
    if (waiting.isEmpty()
        || (holdsPromise(entry) || entry.continuesStream())
            && meetsObjectiveAlone(entry, nowNanos)) {
      return false;
    }
    double ownMillis = entry.countedMillis(entry.workMillis);
    return !entry.meetsObjective(
        waitAheadMillis(entry, nowNanos)
            + reservedMillis(entry, nowNanos)
            + ownMillis
            + marginMillis(entry),
        nowNanos);
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
    return waitAheadMillis(entry, nowNanos) + reservedMillis(entry, nowNanos) + entry.workMillis;
  }

  private static boolean holdsPromise(WaitingEntry entry) {
    return entry.keptRetryTime() && !entry.late;
  }

  /** Returns by how much promises to other callers lengthen the wait of a request. */
  private double reservedMillis(WaitingEntry entry, long nowNanos) {
    return entry.fromFirstAttempt && !holdsPromise(entry)
        ? promises.reservedMillis(entry.dueNanos, nowNanos)
        : 0;
  }

  /** Returns the expected time until a request that arrives now gets a slot, in milliseconds. */
  double delayMillis(long nowNanos) {
    double work = 0;
    for (WaitingEntry entry : waiting.all()) {
      work += entry.workMillis;
    }
    return delayBehind(work, waiting.size(), UpstreamRequirements.NONE, nowNanos);
  }

  /** Returns the margin that a prediction for a request needs, in milliseconds. */
  double marginMillis(WaitingEntry entry) {
    return entry.fromFirstAttempt && !entry.late ? error.marginMillis() : 0;
  }

  /**
   * Returns the expected wait behind the requests that precede one: in fair order, those that were
   * late on their arrival behind all others.
   */
  private double waitAheadMillis(WaitingEntry entry, long nowNanos) {
    if (waiting.isEmpty()) {
      return 0;
    }
    boolean everywhere =
        entry.requirements.none()
            || upstreams.count(entry.requirements, nowNanos)
                == upstreams.count(UpstreamRequirements.NONE, nowNanos);
    Map<UpstreamRequirements, Double> sharedParts = everywhere ? Map.of() : new HashMap<>();
    double ownService = ledger.account(entry.workspace()).virtualService();
    double work = 0;
    double ahead = 0;
    for (WaitingEntry other : waiting.all()) {
      boolean sameWorkspace = other.workspace().equals(entry.workspace());
      boolean before =
          other.late != entry.late
              ? entry.late
              : sameWorkspace
                  ? WaitingEntry.SERVICE_ORDER.compare(other, entry) <= 0
                  : ledger.account(other.workspace()).virtualService() <= ownService;
      if (before) {
        double part =
            everywhere
                ? 1
                : sharedParts.computeIfAbsent(
                    other.requirements, required -> sharedPart(entry, required, nowNanos));
        work += part * other.workMillis;
        ahead += part;
      }
    }
    return delayBehind(work, ahead, entry.requirements, nowNanos);
  }

  /**
   * Returns the part of the work of other requests that is done on the upstreams of one, if it is
   * divided evenly among those that the others may use.
   */
  private double sharedPart(WaitingEntry entry, UpstreamRequirements ofOthers, long nowNanos) {
    double usable = upstreams.count(ofOthers, nowNanos);
    UpstreamRequirements common = entry.requirements.and(ofOthers);
    return usable == 0 ? 0 : upstreams.count(common, nowNanos) / usable;
  }

  /**
   * Returns the wait behind work spread over the usable upstreams that are permitted, including
   * their backlog. Cold ones count only if no other is left: then their rate is what limits the
   * requests.
   */
  private double delayBehind(
      double work, double requests, UpstreamRequirements requirements, long nowNanos) {
    Room room = upstreams.room(requirements, nowNanos);
    if (room.parallelism() > 0) {
      return room.behind(work).waitMillis();
    }
    int cold = upstreams.count(requirements, nowNanos);
    return cold == 0 ? NO_UPSTREAM_MILLIS : requests * coldUpstreams.grantMillis() / cold;
  }
}

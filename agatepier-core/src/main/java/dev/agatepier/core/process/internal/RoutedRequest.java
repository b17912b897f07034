package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RequestFacts;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/** One call from its admission to its end. */
final class RoutedRequest {

  /** Stands for the number of an event where there is none. */
  private static final long NO_EVENT = -1;

  /** Where the request stands. */
  enum Phase {
    /** In its queue. */
    WAITING,
    /** Out of its queue until another request with its fingerprint has ended. */
    PARKED,
    /** Sent to a sidecar or an upstream. */
    RUNNING,
    /** Sent and withdrawn; the word of the sidecar or of the connection is awaited. */
    WITHDRAWN
  }

  final CallArrived call;
  final WaitingQueue queue;
  final long sequence;
  final long arrivedNanos;
  final long deadlineNanos;
  final CallPlan plan;
  final Placement placement;
  final double estimatedCost;

  Phase phase = Phase.WAITING;
  long timerNanos;

  /** Sidecar that the request is held for, or kept away from, until the hold ends. */
  String holdSidecar = "";

  long holdUntilNanos;

  int attempts;

  /** Attempts that may have run. */
  int possibleRuns;

  /** Attempts that are proven not to have run. */
  int provenNotRunCount;

  /** Attempts during which the upstream died. */
  int deaths;

  /** Data centre in which it asks for a slot, or has one. */
  String dataCentre = "";

  /** Data centres whose keepers have refused it a slot. */
  final Set<String> refusedBy = new HashSet<>();

  AttemptId currentAttempt;
  AttemptTarget target;
  String lastTarget = "";
  boolean exclusive;
  boolean responseStarted;

  /** Whether the request has been out of its queue because of a suspicion. */
  boolean parkedBefore;

  /** Whether the upstream's answer says that it failed. */
  boolean upstreamError;

  int nextFrame;

  /** Number of the last event passed on; that of the caller's own resumption before the first. */
  long lastEvent = NO_EVENT;

  /** Tokens of the answer passed on. */
  long tokens;

  /** Bytes that the caller has taken since the target was last told. */
  long uncreditedBytes;

  long sentNanos;
  long firstByteNanos;
  Reason withdrawReason;

  RoutedRequest(
      CallArrived call,
      WaitingQueue queue,
      long sequence,
      long nowNanos,
      long deadlineNanos,
      CallPlan plan,
      Placement placement) {
    this.call = call;
    this.queue = queue;
    this.sequence = sequence;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = deadlineNanos;
    this.timerNanos = deadlineNanos;
    this.plan = plan;
    this.placement = placement;
    this.estimatedCost = queue.estimatedCost();
    call.resumeAfter().ifPresent(event -> lastEvent = event);
  }

  RequestId id() {
    return call.request();
  }

  Fingerprint fingerprint() {
    return call.fingerprint();
  }

  boolean ticketed() {
    return call.ticket().isPresent();
  }

  /** Returns what the attempt has cost: tokens of the answer, else milliseconds of the slot. */
  double cost(long nowNanos) {
    return call.prompt().isPresent()
        ? tokens
        : (double) (nowNanos - sentNanos) / RouterState.NANOS_PER_MILLI;
  }

  /** Returns whether the request is in the hands of a sidecar or an upstream. */
  boolean sent() {
    return phase == Phase.RUNNING || phase == Phase.WITHDRAWN;
  }

  /**
   * Returns whether it is proven that the request did not run. A router does not know of earlier
   * tries under a ticket, so a ticketed request also needs the word of its home sidecar.
   */
  boolean provenNotRun() {
    return possibleRuns == 0 && (!ticketed() || provenNotRunCount > 0);
  }

  /** Returns whether part of the current attempt's answer has come. */
  boolean receivesResponse() {
    return sent() && nextFrame > 0;
  }

  /** Returns the number of the event after which an upstream is to go on. */
  OptionalLong resumeAfter() {
    return lastEvent == NO_EVENT ? OptionalLong.empty() : OptionalLong.of(lastEvent);
  }

  /** Notes that the request is handed to a target. */
  AttemptId startAttempt(AttemptTarget to, boolean runsAlone, long nowNanos) {
    phase = Phase.RUNNING;
    attempts++;
    possibleRuns++;
    currentAttempt = new AttemptId(id(), attempts);
    target = to;
    lastTarget = to.name();
    exclusive = runsAlone;
    nextFrame = 0;
    uncreditedBytes = 0;
    sentNanos = nowNanos;
    to.running().put(id(), this);
    return currentAttempt;
  }

  /** Notes that nothing more is expected of the current attempt. */
  void clearTarget() {
    target.running().remove(id());
    target = null;
    currentAttempt = null;
  }

  RequestFacts facts(double cost, long nowNanos) {
    return new RequestFacts(
        call.workspace(),
        call.service(),
        attempts,
        lastTarget,
        attempts == 0 ? nowNanos - arrivedNanos : sentNanos - arrivedNanos,
        responseStarted ? firstByteNanos - arrivedNanos : 0,
        nowNanos - arrivedNanos,
        cost);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RequestFacts;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;

/** One call from its admission to its end. */
final class RoutedRequest {

  /** Where the request stands. */
  enum Phase {
    /** In its queue. */
    WAITING,
    /** Out of its queue until another request with its fingerprint has ended. */
    PARKED,
    /** Sent to a sidecar. */
    RUNNING,
    /** Sent to a sidecar and withdrawn; the sidecar's answer is awaited. */
    WITHDRAWN
  }

  final CallArrived call;
  final WaitingQueue queue;
  final long sequence;
  final long arrivedNanos;
  final long deadlineNanos;
  final boolean idempotent;
  final double estimatedCost;

  Phase phase = Phase.WAITING;
  long timerNanos;

  /** Sidecar that the request is held for, or kept away from, until the hold ends. */
  String holdSidecar = "";

  long holdUntilNanos;

  int attempts;

  /** Attempts that may have run. */
  int unproven;

  /** Attempts that are proven not to have run. */
  int proofs;

  /** Attempts during which the upstream died. */
  int deaths;

  AttemptId current;
  LinkedSidecar sidecar;
  String lastSidecar = "";
  boolean alone;
  boolean begun;
  int nextFrame;

  /** Bytes that the caller has taken since the sidecar was last told. */
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
      boolean idempotent) {
    this.call = call;
    this.queue = queue;
    this.sequence = sequence;
    this.arrivedNanos = nowNanos;
    this.deadlineNanos = deadlineNanos;
    this.timerNanos = deadlineNanos;
    this.idempotent = idempotent;
    this.estimatedCost = queue.estimatedCost();
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

  /** Returns whether the request is in the hands of a sidecar. */
  boolean sent() {
    return phase == Phase.RUNNING || phase == Phase.WITHDRAWN;
  }

  /**
   * Returns whether it is proven that the request did not run. A router does not know of earlier
   * tries under a ticket, so a ticketed request also needs the word of its home sidecar.
   */
  boolean provenNotRun() {
    return unproven == 0 && (!ticketed() || proofs > 0);
  }

  /** Notes that the request is handed to a sidecar. */
  AttemptId begin(LinkedSidecar to, boolean runsAlone, long nowNanos) {
    phase = Phase.RUNNING;
    attempts++;
    unproven++;
    current = new AttemptId(id(), attempts);
    sidecar = to;
    lastSidecar = to.name();
    alone = runsAlone;
    nextFrame = 0;
    uncreditedBytes = 0;
    sentNanos = nowNanos;
    to.running.put(id(), this);
    return current;
  }

  /** Notes that nothing more is expected of the current attempt. */
  void leaveSidecar() {
    sidecar.running.remove(id());
    sidecar = null;
    current = null;
  }

  RequestFacts facts(double cost, long nowNanos) {
    return new RequestFacts(
        call.workspace(),
        call.service(),
        attempts,
        lastSidecar,
        attempts == 0 ? nowNanos - arrivedNanos : sentNanos - arrivedNanos,
        begun ? firstByteNanos - arrivedNanos : 0,
        nowNanos - arrivedNanos,
        cost);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.AllowedRegions;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** One call from its admission to its end. */
final class RoutedRequest {

  /** Value of {@link #lastEvent} if there is no event. */
  private static final long NO_EVENT = -1;

  /**
   * Objectives for which a stream that goes on waits for its next event. Its caller waits longer
   * for that than for a first event, and loses what it has if the request is rejected.
   */
  private static final int CONTINUATION_OBJECTIVES = 4;

  /** Version of a stream that was begun by an uncertain version; no upstream has it. */
  static final String UNCERTAIN_VERSION = "\0";

  /** The state of a request. */
  enum Phase {
    /** In its queue. */
    WAITING,
    /** Removed from its queue until another request with its fingerprint has ended. */
    PARKED,
    /** Sent to a sidecar or an upstream. */
    RUNNING,
    /** Withdrawn after it was sent; the sidecar or the connection has not confirmed it yet. */
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

  /**
   * Sidecar that the request is reserved for, or must avoid, until the hold ends; empty for none.
   */
  String holdSidecar = "";

  long holdUntilNanos;

  int attempts;

  /** Attempts that may have run. */
  int possibleRuns;

  /** Attempts that are proven not to have run. */
  int provenNotRunCount;

  /** Attempts during which the upstream crashed. */
  int crashes;

  /** Whether requests of its size have got slots less often than others of its route. */
  boolean underserved;

  /** Time since the caller first sent the request, before it arrived here; 0 if it is new. */
  long callerAgeMillis;

  /** Data centre in which the request waits for a slot or holds one. */
  String dataCentre = "";

  /** Time left that the last report to a slot allocator stated, in milliseconds. */
  long reportedTimeLeftMillis;

  /** Data centres whose slot allocators have refused the request a slot. */
  final Set<String> refusedBy = new HashSet<>();

  /**
   * Regions that the route allows by the newest table that has it; until the next table, also
   * limited to those that the front end found.
   */
  AllowedRegions routeRegions = AllowedRegions.ALL;

  /** Regions that the workspace allows by the newest table that has it. */
  AllowedRegions workspaceRegions = AllowedRegions.ALL;

  /** Regions in which the request may be processed: those that route and workspace allow. */
  AllowedRegions allowedRegions = AllowedRegions.ALL;

  /**
   * Software version that an upstream must have to run the request; empty if any may, {@link
   * #UNCERTAIN_VERSION} if none may.
   */
  String softwareVersion = "";

  /** Software version of the current target by its slot allocator; empty if uncertain. */
  String grantedVersion = "";

  /** Grants that were declined because the upstream is not permitted. */
  int unpermittedGrants;

  AttemptId currentAttempt;
  AttemptTarget target;
  String lastTarget = "";
  boolean exclusive;
  boolean responseStarted;

  /** Whether the current attempt continues a response that an earlier one has started. */
  boolean resumes;

  /** Whether the current attempt continues a stream and has received no numbered event yet. */
  boolean awaitsSeam;

  /** Whether the request has been parked because its fingerprint is a suspect. */
  boolean parkedBefore;

  /** Whether the response of the upstream reports a failure. */
  boolean upstreamError;

  int nextFrame;

  /**
   * Number of the last event forwarded; before the first, the one after which the caller resumes.
   */
  long lastEvent = NO_EVENT;

  /** Response tokens forwarded to the caller. */
  long tokens;

  /** Bytes that the caller has consumed since the last credit to the target. */
  long uncreditedBytes;

  long sentNanos;
  long firstByteNanos;

  /** When the last part of the response was received; 0 before the first. */
  long lastContentNanos;

  /** Longest time between two parts of the response. */
  long longestGapNanos;

  Reason withdrawReason;

  /** Load that the upstream stated and that its slot allocator has not been told yet. */
  Optional<UpstreamLoadReport> statedLoad = Optional.empty();

  /** When the stated load was received. */
  long statedLoadNanos;

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

  /** Returns what the upstream of the next attempt must be. */
  UpstreamRequirements requirements() {
    return UpstreamRequirements.of(allowedRegions, softwareVersion);
  }

  boolean ticketed() {
    return call.ticket().isPresent();
  }

  /**
   * Returns the cost of the attempt: response tokens if the call has a prompt, otherwise
   * milliseconds since the attempt was sent.
   */
  double cost(long nowNanos) {
    return call.prompt().isPresent()
        ? tokens
        : (double) (nowNanos - sentNanos) / RouterState.NANOS_PER_MILLI;
  }

  /** Returns whether the request has an attempt at a sidecar or an upstream. */
  boolean sent() {
    return phase == Phase.RUNNING || phase == Phase.WITHDRAWN;
  }

  /**
   * Returns whether the request is proven not to have run. Earlier attempts under a ticket may be
   * unknown to this router, so a ticketed request also needs the confirmation of its home sidecar.
   */
  boolean provenNotRun() {
    return possibleRuns == 0 && (!ticketed() || provenNotRunCount > 0);
  }

  /** Records that a part of the response was received. */
  void recordContent(long nowNanos) {
    if (lastContentNanos != 0) {
      longestGapNanos = Math.max(longestGapNanos, nowNanos - lastContentNanos);
    }
    lastContentNanos = nowNanos;
  }

  /**
   * Returns the longest gap of the response, in milliseconds; 0 if it comes from several attempts.
   */
  long longestGapMillis() {
    return attempts == 1 ? longestGapNanos / RouterState.NANOS_PER_MILLI : 0;
  }

  /** Returns whether part of the current attempt's response has been received. */
  boolean receivesResponse() {
    return sent() && nextFrame > 0;
  }

  /**
   * Returns the number of the event after which an upstream is to resume; empty for the beginning.
   */
  OptionalLong resumeAfter() {
    return lastEvent == NO_EVENT ? OptionalLong.empty() : OptionalLong.of(lastEvent);
  }

  /**
   * Returns whether events of this call, not only of one that its caller resumes, were forwarded.
   */
  boolean hasForwardedEvents() {
    return !resumeAfter().equals(call.resumeAfter());
  }

  /** Returns the time within which an attempt should bring an event, in milliseconds. */
  long objectiveMillis() {
    return resumeAfter().isPresent()
        ? CONTINUATION_OBJECTIVES * plan.objectiveMillis()
        : plan.objectiveMillis();
  }

  /** Assigns the request to a target and returns the new attempt. */
  AttemptId startAttempt(AttemptTarget newTarget, boolean runsExclusively, long nowNanos) {
    phase = Phase.RUNNING;
    attempts++;
    possibleRuns++;
    currentAttempt = new AttemptId(id(), attempts);
    target = newTarget;
    lastTarget = newTarget.name();
    exclusive = runsExclusively;
    resumes = responseStarted;
    awaitsSeam = resumeAfter().isPresent();
    nextFrame = 0;
    uncreditedBytes = 0;
    sentNanos = nowNanos;
    statedLoad = Optional.empty();
    newTarget.running().put(id(), this);
    return currentAttempt;
  }

  /** Returns the load that the upstream stated, once. */
  Optional<ReceivedLoad> takeStatedLoad(long nowNanos) {
    long ageMillis = (nowNanos - statedLoadNanos) / RouterState.NANOS_PER_MILLI;
    Optional<ReceivedLoad> taken = statedLoad.map(report -> new ReceivedLoad(report, ageMillis));
    statedLoad = Optional.empty();
    return taken;
  }

  /** Removes the request from its target when nothing more is expected of the current attempt. */
  void clearTarget() {
    target.running().remove(id());
    target = null;
    currentAttempt = null;
  }

  RequestMetadata metadata(double cost, long nowNanos) {
    return new RequestMetadata(
        call.workspace(),
        call.service(),
        plan.route(),
        call.prompt().map(PromptMetadata::size).orElse(0L),
        attempts,
        lastTarget,
        attempts == 0 ? nowNanos - arrivedNanos : sentNanos - arrivedNanos,
        responseStarted ? firstByteNanos - arrivedNanos : 0,
        longestGapNanos,
        nowNanos - arrivedNanos,
        cost);
  }
}

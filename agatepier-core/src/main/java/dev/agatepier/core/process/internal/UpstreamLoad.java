package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.UpstreamUnavailable;
import dev.agatepier.core.process.ServiceSlotsStatus.UpstreamStatus;
import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Load of an upstream as its slot allocator estimates it from grants and observed progress. */
final class UpstreamLoad {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Minimum share of its prefill time that the oldest pending prefill is assumed to still need. */
  private static final double MIN_REMAINING_SHARE = 0.1;

  /** Weight of the newest grant in the moving average of expected prefill times. */
  private static final double NEWEST_WEIGHT = 0.1;

  /**
   * Standard deviations of the expected output of all running requests together for which memory is
   * reserved: one sum in forty exceeds two.
   */
  private static final double OUTPUT_DEVIATIONS = 2;

  /** Initial average, in milliseconds. */
  private static final double INITIAL_PREFILL_MILLIS = 50;

  final UpstreamLoadEstimate estimate = new UpstreamLoadEstimate();
  final PrefixCacheModel cache = new PrefixCacheModel();
  final UpstreamHealth health = new UpstreamHealth();
  final WarmUpState warmUp = new WarmUpState();
  final PrefillRunLimit prefillRun = new PrefillRunLimit();
  final ProcessContinuity continuity = new ProcessContinuity();

  Upstream upstream;

  /** Memory of the engine in tokens; empty if the table does not specify it. */
  OptionalLong memoryTokens = OptionalLong.empty();

  /** Share of its slots and its backlog that this allocator may use, above 0 and up to 1. */
  double share = 1;

  /** Whether its data centre is evacuated. */
  boolean evacuated;

  /** Whether it has said that it is leaving. */
  private boolean announcedLeaving;

  /** Time until which it pauses for a router, by the router's name. */
  private final Map<String, Long> pausedUntilNanos = new HashMap<>();

  /** State that was last reported to operators. */
  UpstreamState reportedState = UpstreamState.READY;

  /** Whether requests have waited longer than the stall time without any progress. */
  boolean stalled;

  /** Whether the estimate counts although the upstream does not state its pace. */
  boolean evenLoad;

  /**
   * Longest average time for an output token that the gaps of the routes allow, in milliseconds;
   * infinite if no route limits them.
   */
  double maximumTokenMillis = Double.POSITIVE_INFINITY;

  private final PrefillTimeModel prefillTime = new PrefillTimeModel();

  private final Map<RequestId, SlotAllocation> allocations = new LinkedHashMap<>();

  /** Allocations whose response has not started, in the order of their grants. */
  private final Map<RequestId, SlotAllocation> pending = new LinkedHashMap<>();

  private UpstreamAvailability availability;
  private double outputTokens;
  private double outputVariance;
  private long progressNanos;

  /** Figures of the estimate as of the last refresh; neutral while it does not count. */
  private double paceFactor = 1;

  private double momentaryPaceFactor = 1;
  private int otherRequests;
  private double otherBacklogMillis;
  private int runningLimit = Integer.MAX_VALUE;

  private double meanPrefillMillis = INITIAL_PREFILL_MILLIS;

  UpstreamLoad(Upstream upstream, long nowNanos) {
    this.upstream = upstream;
    this.availability = UpstreamAvailability.ofEntry(upstream, evacuated);
    this.progressNanos = nowNanos;
  }

  /**
   * Returns what the slot allocator knows of whether the upstream may get requests. It is asked for
   * each waiting request and upstream, so the last result is kept while nothing has changed.
   */
  UpstreamAvailability availability() {
    boolean leaving = upstream.leaving() || announcedLeaving;
    long ejectedUntil = health.ejectedUntilNanos();
    if (availability.leaving() != leaving
        || availability.evacuated() != evacuated
        || availability.stalled() != stalled
        || availability.ejectedUntilNanos() != ejectedUntil) {
      availability =
          UpstreamAvailability.ofEntry(upstream, evacuated)
              .withProgress(stalled, ejectedUntil)
              .withNotices(announcedLeaving, UpstreamAvailability.NO_TIME);
    }
    return availability;
  }

  /** Returns the same for requests of one router, for which the upstream may pause. */
  UpstreamAvailability availability(String router) {
    Long pausedUntil = pausedUntilNanos.isEmpty() ? null : pausedUntilNanos.get(router);
    return pausedUntil == null
        ? availability()
        : availability().withNotices(announcedLeaving, pausedUntil);
  }

  /** Returns the same for operators: paused if the upstream pauses for any router. */
  UpstreamAvailability reportableAvailability() {
    long latest =
        pausedUntilNanos.values().stream()
            .max(Comparator.naturalOrder())
            .orElse(UpstreamAvailability.NO_TIME);
    return availability().withNotices(announcedLeaving, latest);
  }

  /** Applies what the upstream has said to a router; an earlier incarnation is ignored. */
  void onUnavailable(String router, UpstreamUnavailable message, long nowNanos) {
    if (message.incarnation() < upstream.incarnation()) {
      return;
    }
    announcedLeaving |= message.leaving();
    pausedUntilNanos.values().removeIf(until -> until <= nowNanos);
    pausedUntilNanos.put(router, nowNanos + (long) (message.pauseMillis() * NANOS_PER_MILLI));
  }

  int running() {
    return allocations.size();
  }

  /** Returns whether the estimate counts. */
  boolean usesEstimate() {
    return evenLoad || estimate.statesPace();
  }

  /** Takes over the figures of the estimate as of now, if it counts. */
  void refresh(long nowNanos) {
    if (usesEstimate()) {
      paceFactor = estimate.paceFactor(nowNanos);
      momentaryPaceFactor = estimate.momentaryPaceFactor(nowNanos);
      otherRequests = (int) Math.round(estimate.otherRequests(nowNanos));
      otherBacklogMillis = estimate.otherBacklogMillis(meanPrefillMillis, nowNanos);
      runningLimit = estimate.runningLimit(maximumTokenMillis);
    }
  }

  int freeSlots() {
    int slots = Math.min(runningLimit, (int) (share * upstream.slots()));
    return Math.max(1, slots) - allocations.size() - otherRequests;
  }

  /** Returns the requests that other senders are expected to have here. */
  int otherRequests() {
    return otherRequests;
  }

  /** Returns the expected time to prefill a number of tokens now, in milliseconds. */
  double prefillMillis(double tokens) {
    return paceFactor * prefillTime.expectedMillis(tokens);
  }

  /**
   * Returns the expected time for which a request occupies a slot, in milliseconds.
   *
   * @param initialMillis the value before a request has completed
   */
  double slotMillis(double initialMillis) {
    return momentaryPaceFactor * estimate.slotMillis(initialMillis);
  }

  /** Returns the expected time that one more token of a prompt takes now, in milliseconds. */
  double millisPerPromptToken() {
    return paceFactor * prefillTime.millisPerToken();
  }

  /** Returns the number of requests whose response has not started. */
  int pending() {
    return pending.size();
  }

  /** Returns the number of requests whose response has started. */
  int streaming() {
    return allocations.size() - pending.size();
  }

  /**
   * Returns whether a prompt may be sent without stretching the gaps of the responses that stream:
   * after a break, or if the run of prefill stays short.
   */
  boolean permitsPrefill(double prefillMillis, long nowNanos) {
    return !usesEstimate()
        || pending.isEmpty()
        || streaming() == 0
        || prefillRun.permitsExtension(ownBacklogMillis(nowNanos) + prefillMillis, nowNanos);
  }

  /** Returns how many streams a prompt makes exceed their gap, by its time alone. */
  int streamsStretchedBy(double prefillMillis) {
    return usesEstimate() && prefillRun.isExceededBy(prefillMillis) ? streaming() : 0;
  }

  /** Returns whether an entry belongs to the same process as the current one. */
  boolean isSameProcess(Upstream entry) {
    return entry.incarnation() == upstream.incarnation()
        && entry.port() == upstream.port()
        && entry.address().equals(upstream.address())
        && entry.softwareVersion().equals(upstream.softwareVersion());
  }

  /** Returns the software version; empty if a process of another one may have started. */
  String certainVersion(long nowNanos) {
    return continuity.mayBeReplaced(nowNanos) ? "" : upstream.softwareVersion();
  }

  /** Returns the tokens in memory for running requests, including their expected output. */
  long runningTokens() {
    return cache.pinnedTokens() + reservedOutputTokens(0, 0);
  }

  /** Returns by how much one more response increases the memory for output, in tokens. */
  long addedOutputTokens(ExpectedOutput output) {
    return reservedOutputTokens(output.tokens(), output.variance()) - reservedOutputTokens(0, 0);
  }

  /**
   * Returns the memory for the output of running requests and further tokens: what is expected, and
   * the error that the expectations have together.
   */
  private long reservedOutputTokens(double furtherTokens, double furtherVariance) {
    double variance = Math.max(0, outputVariance + furtherVariance);
    return (long) Math.ceil(outputTokens + furtherTokens + OUTPUT_DEVIATIONS * Math.sqrt(variance));
  }

  List<SlotAllocation> allocations() {
    return new ArrayList<>(allocations.values());
  }

  void add(SlotAllocation allocation, boolean responseStarted) {
    allocations.put(allocation.call.request(), allocation);
    addOutput(allocation.output, 1);
    allocation.call.prompt().ifPresent(cache::pin);
    cache.evict(memoryTokens, Math.round(outputTokens));
    allocation.responseStarted = responseStarted;
    if (!responseStarted) {
      if (pending.isEmpty()) {
        progressNanos = Math.max(progressNanos, allocation.grantedNanos);
        prefillRun.recordRunStarted(allocation.grantedNanos);
      }
      pending.put(allocation.call.request(), allocation);
      meanPrefillMillis += NEWEST_WEIGHT * (allocation.prefillMillis - meanPrefillMillis);
    }
    estimate.recordOwn(allocations.size(), pending.size(), allocation.grantedNanos);
  }

  /** Records the start of a response, and its prefill time if it was the oldest pending one. */
  void recordResponseStarted(SlotAllocation allocation, long nowNanos) {
    boolean wasHead =
        !pending.isEmpty()
            && pending.values().iterator().next() == allocation
            && !allocation.responseStarted;
    pending.remove(allocation.call.request());
    allocation.responseStarted = true;
    if (wasHead) {
      long sinceNanos = Math.max(progressNanos, allocation.grantedNanos);
      prefillTime.observe(
          allocation.uncachedTokens, (nowNanos - sinceNanos) / NANOS_PER_MILLI / paceFactor);
    }
    estimate.recordOwn(allocations.size(), pending.size(), nowNanos);
    recordProgress(nowNanos);
  }

  /** Records progress of the upstream. */
  void recordProgress(long nowNanos) {
    progressNanos = Math.max(progressNanos, nowNanos);
    health.recordProgress();
    warmUp.onResponse(nowNanos);
  }

  /** Releases a slot; does nothing if it is already released. */
  void remove(SlotAllocation allocation, long nowNanos) {
    if (allocations.remove(allocation.call.request()) == null) {
      return;
    }
    boolean wasHead = !pending.isEmpty() && pending.values().iterator().next() == allocation;
    pending.remove(allocation.call.request());
    if (wasHead) {
      progressNanos = Math.max(progressNanos, nowNanos);
    }
    addOutput(allocation.output, -1);
    if (allocations.isEmpty()) {
      // Sums of fractions are not exact.
      outputTokens = 0;
      outputVariance = 0;
    }
    allocation.call.prompt().ifPresent(prompt -> cache.unpin(prompt, allocation.responseStarted));
    cache.evict(memoryTokens, Math.round(outputTokens));
    estimate.recordOwn(allocations.size(), pending.size(), nowNanos);
  }

  /**
   * Raises the expected output of the responses that have generated more, by the measured time for
   * a token.
   */
  void updateGenerated(long nowNanos) {
    double tokenMillis = estimate.outputTokenMillis();
    if (tokenMillis == 0) {
      return;
    }
    for (SlotAllocation allocation : allocations.values()) {
      if (allocation.startedNanos.isPresent() && allocation.call.prompt().isPresent()) {
        double millis = (nowNanos - allocation.startedNanos.getAsLong()) / NANOS_PER_MILLI;
        int maximum = allocation.call.prompt().get().maximumOutputTokens();
        addOutput(allocation.output, -1);
        allocation.output = allocation.output.within(millis / tokenMillis, maximum);
        addOutput(allocation.output, 1);
      }
    }
  }

  private void addOutput(ExpectedOutput output, int count) {
    outputTokens += count * output.tokens();
    outputVariance += count * output.variance();
  }

  /** Returns the expected time to finish all pending prefills, in milliseconds. */
  double backlogMillis(long nowNanos) {
    return ownBacklogMillis(nowNanos) + otherBacklogMillis;
  }

  /** Returns the expected time to finish the pending prefills of own requests, in milliseconds. */
  double ownBacklogMillis(long nowNanos) {
    double millis = 0;
    boolean head = true;
    for (SlotAllocation allocation : pending.values()) {
      double remaining = allocation.prefillMillis;
      if (head) {
        double elapsed =
            (nowNanos - Math.max(progressNanos, allocation.grantedNanos)) / NANOS_PER_MILLI;
        remaining = Math.max(remaining * MIN_REMAINING_SHARE, remaining - elapsed);
        head = false;
      }
      millis += remaining;
    }
    return millis;
  }

  /** Returns the status for the administration interface. */
  UpstreamStatus status(SlotRule rule, long nowNanos) {
    return new UpstreamStatus(
        upstream.name(),
        upstream.slots(),
        allocations.size(),
        rule.backlogMillis(this, nowNanos),
        runningTokens(),
        health.failureShare(),
        availability().state(nowNanos).usable(),
        usesEstimate() ? Optional.of(estimate.status(nowNanos)) : Optional.empty());
  }

  /** Returns the milliseconds without progress; 0 if no response is pending. */
  double millisSinceProgress(long nowNanos) {
    return pending.isEmpty() ? 0 : (nowNanos - progressNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns the milliseconds for which the oldest pending prefill has taken longer than expected;
   * negative if it has not.
   */
  double millisOverdue(long nowNanos) {
    return pending.isEmpty()
        ? 0
        : millisSinceProgress(nowNanos) - pending.values().iterator().next().prefillMillis;
  }
}

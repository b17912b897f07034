package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.ServiceSlotsStatus;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.Send;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Allocates the slots of one service's upstreams to waiting requests. */
public final class ServiceSlots {

  /**
   * Exponent of the decay of cost over one window. A workspace that is ahead by its whole cost
   * waits for a third of the window, so over the window it gets more than half of what others get.
   */
  private static final double DECAY_EXPONENT = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final SlotRule rule;
  private final List<SlotAllocatorEffect> effects;
  private final WorkspaceLedger ledger;
  private final AllocatorCostExchange costs;
  private final WaitingRequests waiting;
  private final SlotScheduler scheduler;
  private final AvailabilityReport availability;
  private final ColdUpstreams coldUpstreams;
  private final AdmissionRules rules;
  private final RetryAdvice advice;
  private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
  private final SlotAllocations allocations;
  private final ServedLevels levels = new ServedLevels();
  private final DelayReports reports = new DelayReports();
  private Set<String> otherDataCentres = Set.of();
  private OptionalLong memoryTokens = OptionalLong.empty();
  private double shortestGapMillis = Double.POSITIVE_INFINITY;
  private double maximumTokenMillis = Double.POSITIVE_INFINITY;
  private long lastSequence;
  private long decayedNanos;

  /**
   * Creates the state of a service, without upstreams.
   *
   * @param entry the service
   * @param policy settings of the slot allocator
   * @param ledger accounts of the workspaces; determines the order in which they are served
   * @param effects list that effects are added to
   */
  public ServiceSlots(
      ServiceEntry entry,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      List<SlotAllocatorEffect> effects) {
    this(entry, policy, ledger, effects, UpstreamChoice.LOWEST_SCORE);
  }

  /** Creates the state of a service with another choice of upstreams. */
  ServiceSlots(
      ServiceEntry entry,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      List<SlotAllocatorEffect> effects,
      UpstreamChoice choice) {
    this.service = entry.name();
    this.policy = policy;
    this.rule = SlotRule.of(entry.kind(), policy);
    this.ledger = ledger;
    this.effects = effects;
    this.costs = new AllocatorCostExchange(ledger);
    this.waiting = new WaitingRequests(ledger);
    this.rules =
        policy.countsFromFirstAttempt()
            ? new AdmissionRules(
                true, new FinishTimeOrder(ledger, waiting), new QuantilePredictionError(), true)
            : new AdmissionRules(
                false, new StartTimeOrder(ledger, waiting), PredictionError.IGNORED, false);
    this.advice = new RetryAdvice(policy.retryAfterMillis());
    this.allocations = new SlotAllocations(service, rule, ledger, effects, rules.error());
    this.coldUpstreams = new ColdUpstreams(service, policy, upstreams.values());
    this.scheduler =
        new SlotScheduler(rule, ledger, waiting, upstreams.values(), coldUpstreams, choice, rules);
    this.availability = new AvailabilityReport(service, upstreams.values(), coldUpstreams, effects);
  }

  /** Applies the workspace weights, the engine profile and the warm-up of a table version. */
  public void activate(Table table, long nowNanos) {
    ledger.activate(table);
    coldUpstreams.activate(table.service(service).flatMap(ServiceEntry::warmUp), nowNanos);
    Optional<EngineProfile> engine = table.service(service).flatMap(ServiceEntry::engine);
    memoryTokens =
        engine.map(profile -> OptionalLong.of(profile.memoryTokens())).orElse(OptionalLong.empty());
    shortestGapMillis = OutputGaps.shortestGapMillis(table, service);
    maximumTokenMillis =
        engine
            .map(profile -> OutputGaps.maximumTokenMillis(shortestGapMillis, profile))
            .orElse(Double.POSITIVE_INFINITY);
    upstreams.values().forEach(this::configure);
  }

  private void configure(UpstreamLoad upstream) {
    upstream.memoryTokens = memoryTokens;
    upstream.maximumTokenMillis = maximumTokenMillis;
    upstream.prefillRun.setAllowedGap(shortestGapMillis);
    upstream.evenLoad = policy.evenLoad();
  }

  /**
   * Replaces the upstreams; one that restarted or moved starts with no recorded load.
   *
   * @param listed the upstreams
   * @param evacuated names of the evacuated data centres
   * @param listedNanos when the list was activated
   * @param takenOver data centres whose slots another allocator may have granted until now
   */
  public void updateUpstreams(
      Collection<Upstream> listed,
      Set<String> evacuated,
      long listedNanos,
      Set<String> takenOver,
      long nowNanos) {
    Map<String, UpstreamLoad> previous = new HashMap<>(upstreams);
    upstreams.clear();
    for (Upstream upstream : listed) {
      UpstreamLoad earlier = previous.get(upstream.name());
      UpstreamLoad load = earlier;
      if (earlier == null || !earlier.isSameProcess(upstream)) {
        load = new UpstreamLoad(upstream, nowNanos);
        configure(load);
        coldUpstreams.onProcessReplaced(load, earlier);
      }
      load.upstream = upstream;
      load.evacuated = evacuated.contains(upstream.dataCentre());
      upstreams.put(upstream.name(), load);
      load.warmUp.onListed(upstream.cold(), listedNanos);
      if (takenOver.contains(upstream.dataCentre())) {
        coldUpstreams.onTakenOver(load, nowNanos);
      }
    }
  }

  /** Handles a message of a router. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    refreshEstimates(nowNanos);
    switch (message) {
      case SlotMessage.SlotsWanted wanted -> onSlotsWanted(router, wanted, nowNanos);
      case SlotMessage.SlotsChanged(String name, List<SlotChange> changes) ->
          changes.forEach(change -> onSlotChange(router, change, nowNanos));
      case SlotMessage.UpstreamUnavailable unavailable ->
          Optional.ofNullable(upstreams.get(unavailable.upstream()))
              .ifPresent(load -> load.onUnavailable(router, unavailable, nowNanos));
      case SlotMessage.AllocatorCosts _ -> {
        // Depends on the process of the router, see onCosts.
      }
      case SlotMessage.SlotGranted _,
          SlotMessage.SlotRefused _,
          SlotMessage.AllocatorLoad _,
          SlotMessage.SlotRecalled _ -> {
        // Sent by allocators to routers only.
      }
    }
  }

  /** Handles the costs and the level that the slot allocator of another data centre reports. */
  public void onCosts(PeerIdentity router, SlotMessage.AllocatorCosts received, long nowNanos) {
    costs.onCosts(router, received.costs());
    levels.recordLevel(router.dataCentre(), received.servedBelow(), nowNanos);
  }

  /** Sets the share of each upstream's slots that this allocator may grant, up to 1. */
  public void setShare(double share) {
    upstreams.values().forEach(upstream -> upstream.share = share);
  }

  /**
   * Sets what limits the use of cold upstreams beside their own rate.
   *
   * @param allocating whether routers of this data centre use this allocator
   * @param share share of the usual rate that this allocator may use, up to 1
   */
  public void setColdUpstreams(boolean allocating, double share, long nowNanos) {
    coldUpstreams.setAllocating(allocating, nowNanos);
    coldUpstreams.setShare(share);
  }

  /** Treats the upstreams of data centres as cold whose evacuation has ended. */
  public void onEvacuationEnded(Set<String> dataCentres, long nowNanos) {
    coldUpstreams.onEvacuationEnded(dataCentres, nowNanos);
  }

  /** Replaces the other data centres in which requests of the service can get slots. */
  public void setOtherDataCentres(Set<String> names) {
    otherDataCentres = Set.copyOf(names);
  }

  /** Drops the waiting requests and slots of a router. */
  public void removeRouter(String router, long nowNanos) {
    waiting.removeRouter(router);
    allocations.releaseRouter(router, nowNanos);
  }

  /** Grants free slots. */
  public void grantSlots(long nowNanos) {
    if (waiting.isEmpty()) {
      return;
    }
    refreshEstimates(nowNanos);
    SlotScheduler.Assignment assignment = scheduler.next(nowNanos);
    while (assignment != null) {
      grant(assignment, nowNanos);
      assignment = scheduler.next(nowNanos);
    }
  }

  /**
   * Updates stalled upstreams and refuses requests that are too late. The work grows with the
   * number of waiting requests, so it is done periodically and not for each event.
   */
  public void review(long nowNanos) {
    refreshEstimates(nowNanos);
    upstreams.values().forEach(upstream -> updateStalled(upstream, nowNanos));
    coldUpstreams.report(effects, nowNanos);
    if (waiting.isEmpty()) {
      return;
    }
    for (WaitingEntry entry : scheduler.overdue(policy.lateMillis(), nowNanos)) {
      waiting.remove(entry.call.request());
      levels.recordRejected();
      refuse(entry, nowNanos);
    }
  }

  /** Applies the exponential decay of workspace costs for the time since the last call. */
  public void decayCosts(long nowNanos) {
    if (policy.costWindowMillis() > 0) {
      double windows = (nowNanos - decayedNanos) / NANOS_PER_MILLI / policy.costWindowMillis();
      double exponent = DECAY_EXPONENT * windows;
      ledger.decay(exponent);
      costs.decay(exponent);
    }
    decayedNanos = nowNanos;
  }

  /** Returns the name of the service. */
  public String name() {
    return service;
  }

  /**
   * Returns the expected time until a request that arrives now gets a slot, in milliseconds, if a
   * report to the routers is due.
   */
  public OptionalLong takeDueDelayMillis(long nowNanos) {
    long delayMillis = Math.round(scheduler.delayMillis(nowNanos));
    return reports.takeDue(delayMillis, nowNanos)
        ? OptionalLong.of(delayMillis)
        : OptionalLong.empty();
  }

  /** Returns the measured capacity of the usable upstreams; empty if no estimate of load counts. */
  public Optional<SlotMessage.MeasuredCapacity> measuredCapacity(long nowNanos) {
    return scheduler.measuredCapacity(nowNanos);
  }

  /** Returns what to send to the allocators of other data centres now; empty if nothing is due. */
  public Optional<SlotMessage.AllocatorCosts> takeDueCosts(long nowNanos) {
    Optional<List<WorkspaceCost>> due = costs.takeDue(nowNanos);
    if (due.isEmpty()) {
      return Optional.empty();
    }
    double level = levels.takeLevel();
    return due.get().isEmpty() && level == SlotMessage.AllocatorCosts.ALL_SERVED
        ? Optional.empty()
        : Optional.of(new SlotMessage.AllocatorCosts(service, level, due.get()));
  }

  /** Reports the upstreams whose state has changed since the last call. */
  public void reportAvailability(long nowNanos) {
    availability.reportChanges(nowNanos);
  }

  /** Returns the state of each upstream. */
  public List<UpstreamState> upstreamStates(long nowNanos) {
    return availability.states(nowNanos);
  }

  /** Returns whether no request waits and no slot is occupied. */
  public boolean isIdle() {
    return waiting.isEmpty() && allocations.isEmpty();
  }

  /** Returns the status for the administration interface. */
  public ServiceSlotsStatus status(long nowNanos) {
    return new ServiceSlotsStatus(
        service,
        waiting.size(),
        allocations.size(),
        upstreams.values().stream().map(load -> load.status(rule, nowNanos)).toList());
  }

  private void refreshEstimates(long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.refresh(nowNanos));
  }

  private void onSlotsWanted(String router, SlotMessage.SlotsWanted wanted, long nowNanos) {
    if (wanted.complete()) {
      removeRouter(router, nowNanos);
    }
    for (HeldSlot slot : wanted.held()) {
      UpstreamLoad upstream = upstreams.get(slot.upstream());
      if (upstream != null) {
        allocations.allocate(router, slot.call(), upstream, slot.responseStarted(), nowNanos);
      }
    }
    for (WaitingCall call : wanted.waiting()) {
      WaitingEntry entry =
          new WaitingEntry(
              router,
              call,
              ++lastSequence,
              rule.expectedCost(call),
              rules.fromFirstAttempt(),
              nowNanos);
      scheduler.estimateWork(entry, nowNanos);
      if (scheduler.cannotMeetObjective(entry, nowNanos)) {
        if (scheduler.meetsObjectiveAlone(entry, nowNanos)) {
          levels.recordRejected();
        }
        refuse(entry, nowNanos);
      } else {
        waiting.add(entry);
      }
    }
  }

  private void refuse(WaitingEntry entry, long nowNanos) {
    FairPosition position = ledger.position(entry.workspace());
    String alternative =
        levels
            .alternative(
                entry.call.request(), position.virtualService(), otherDataCentres, nowNanos)
            .orElse("");
    effects.add(
        new SlotAllocatorEffect.Rejected(
            service,
            entry.call.request(),
            position,
            entry.waitedMillis(nowNanos),
            entry.slackMillis(nowNanos),
            Math.round(scheduler.expectedMillis(entry, nowNanos)),
            Math.round(entry.workMillis),
            scheduler.countWithCapacity(entry, nowNanos),
            entry.call.underserved()));
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotRefused(
                service, entry.call.request(), retryAfterMillis(entry, nowNanos), alternative)));
  }

  private long retryAfterMillis(WaitingEntry entry, long nowNanos) {
    return rules.fromFirstAttempt()
        ? advice.recordRejected(entry.call.request(), entry.call.timeLeftMillis(), nowNanos)
        : policy.retryAfterMillis();
  }

  private void onSlotChange(String router, SlotChange change, long nowNanos) {
    if (change.stage() == SlotStage.WITHDRAWN) {
      waiting.remove(change.request());
      return;
    }
    allocations.onSlotChange(router, change, nowNanos);
  }

  private void grant(SlotScheduler.Assignment assignment, long nowNanos) {
    WaitingEntry entry = assignment.entry();
    UpstreamLoad upstream = assignment.upstream();
    FairPosition position = ledger.position(entry.workspace());
    levels.recordGranted(position.virtualService());
    waiting.remove(entry.call.request());
    effects.add(
        new SlotAllocatorEffect.Placed(
            service,
            entry.call.request(),
            position,
            rule.expectedCost(entry.call),
            upstream.upstream.name(),
            entry.waitedMillis(nowNanos),
            Math.round(rule.backlogMillis(upstream, nowNanos)),
            Math.round(rule.firstByteMillis(upstream, entry.call)),
            ModelSlotRule.uncachedTokens(upstream, entry.call),
            entry.call.prompt().map(upstream.cache::uncachedSharedTokens).orElse(0),
            upstreams.values().stream()
                .mapToInt(other -> ModelSlotRule.uncachedTokens(other, entry.call))
                .min()
                .orElse(0),
            entry.call.underserved()));
    allocations.allocate(entry.router, entry.call, upstream, false, nowNanos);
    coldUpstreams.recordGrant(upstream, nowNanos);
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotGranted(
                service,
                entry.call.request(),
                upstream.upstream.name(),
                coldUpstreams.isCold(upstream, nowNanos),
                entry.waitedMillis(nowNanos),
                entry.call.timeLeftMillis())));
  }

  /** Marks an upstream as stalled, and recalls requests from it, if it makes no progress. */
  private void updateStalled(UpstreamLoad upstream, long nowNanos) {
    boolean stalled = upstream.millisOverdue(nowNanos) > policy.stallMillis();
    if (stalled == upstream.stalled) {
      return;
    }
    upstream.stalled = stalled;
    effects.add(
        new SlotAllocatorEffect.UpstreamUsabilityChanged(
            upstream.upstream.name(),
            !stalled,
            "stalled",
            (long) upstream.millisSinceProgress(nowNanos)));
    if (stalled) {
      upstream.allocations().stream()
          .filter(allocation -> !allocation.responseStarted && allocation.call.repeatable())
          .forEach(allocation -> recall(allocation, upstream));
    }
  }

  private void recall(SlotAllocation allocation, UpstreamLoad upstream) {
    effects.add(
        new Send(
            allocation.router,
            new SlotMessage.SlotRecalled(
                service, allocation.call.request(), upstream.upstream.name())));
  }
}

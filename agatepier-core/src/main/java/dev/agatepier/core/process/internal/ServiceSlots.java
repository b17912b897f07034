package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.CallerReturn;
import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.ServiceSlotsStatus;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.Send;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.internal.RejectedCallers.Rejection;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

/** Allocates the slots of one service's upstreams to waiting requests. */
public final class ServiceSlots {

  /** Exponent of the decay of cost over one window: a seventh is left. */
  private static final double DECAY_EXPONENT = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final SlotRule rule;
  private final List<SlotAllocatorEffect> effects;
  private final WorkspaceLedger ledger;
  private final AllocatorCostExchange costs;
  private final WaitingRequests waiting;
  private final AllocatorRegions regions;
  private final ServiceUpstreams upstreams;
  private final UsableUpstreams usable;
  private final WaitEstimates waits;
  private final UpstreamChoice choice;
  private final SlotScheduler scheduler;
  private final SlotRejections rejections;
  private final SlotAllocations allocations;
  private final GrantRate grantRate = new GrantRate();
  private final RetryPromises promises;
  private final SharedPartUses partUses = new SharedPartUses();
  private final ResponseLengths lengths = new ResponseLengths();
  private final DelayReports reports = new DelayReports();
  private long lastSequence;
  private OptionalLong decayedNanos = OptionalLong.empty();

  /**
   * Creates the state of a service, without upstreams.
   *
   * @param entry the service
   * @param policy settings of the slot allocator
   * @param ledger accounts of the workspaces; determines the order in which they are served
   * @param regions the regions in which requests may be processed
   * @param effects list that effects are added to
   */
  public ServiceSlots(
      ServiceEntry entry,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      AllocatorRegions regions,
      List<SlotAllocatorEffect> effects) {
    this(
        entry,
        policy,
        ledger,
        regions,
        effects,
        policy.mayHaveHomesByLoad()
            ? upstreams -> new HomeChoice(upstreams, homesListener(entry.name(), effects))
            : upstreams -> UpstreamChoice.LOWEST_SCORE);
  }

  /** Creates the state of a service with another choice of upstreams. */
  ServiceSlots(
      ServiceEntry entry,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      AllocatorRegions regions,
      List<SlotAllocatorEffect> effects,
      Function<UsableUpstreams, UpstreamChoice> choices) {
    this.service = entry.name();
    this.policy = policy;
    this.rule = SlotRule.of(entry.kind(), policy, lengths);
    this.ledger = ledger;
    this.regions = regions;
    this.effects = effects;
    this.costs = new AllocatorCostExchange(ledger);
    PredictionError error = new PredictionError();
    this.allocations = new SlotAllocations(service, rule, ledger, effects, error, lengths);
    this.waiting = new WaitingRequests(ledger);
    this.upstreams = new ServiceUpstreams(service, policy, effects);
    this.usable = new UsableUpstreams(rule, upstreams, regions);
    this.promises = new RetryPromises(policy.retryAfterMillis(), grantRate);
    this.choice = choices.apply(usable);
    this.waits = new WaitEstimates(ledger, waiting, usable, upstreams.cold(), error, promises);
    this.scheduler =
        new SlotScheduler(rule, ledger, waiting, usable, upstreams.cold(), waits, choice);
    this.rejections =
        new SlotRejections(service, policy, ledger, waits, usable, regions, promises, effects);
  }

  /** Applies the workspace weights, the regions and the upstreams' settings of a table version. */
  public void activate(Table table, long nowNanos) {
    ledger.activate(table);
    waiting.all().forEach(regions::update);
    upstreams.activate(table, nowNanos);
    lengths.activate(table);
  }

  /** Returns the upstreams of the service. */
  public ServiceUpstreams upstreams() {
    return upstreams;
  }

  /** Handles a message of a router. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    refreshEstimates(nowNanos);
    switch (message) {
      case SlotMessage.SlotsWanted wanted -> onSlotsWanted(router, wanted, nowNanos);
      case SlotMessage.SlotsChanged(String name, List<SlotChange> changes) ->
          changes.forEach(change -> onSlotChange(router, change, nowNanos));
      case SlotMessage.UpstreamUnavailable unavailable ->
          upstreams.onUnavailable(router, unavailable, nowNanos);
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
    rejections.levels().recordLevel(router.dataCentre(), received.servedBelow(), nowNanos);
  }

  /**
   * Replaces the other data centres in which requests of the service can get slots.
   *
   * @param places places whose upstreams are served, by the data centre of the allocator
   */
  public void setOtherDataCentres(Map<String, Set<UpstreamPlace>> places) {
    rejections.setOtherDataCentres(places);
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
    upstreams.review(nowNanos);
    if (lengths.applied()) {
      upstreams.updateGenerated(nowNanos);
    }
    if (waiting.isEmpty()) {
      return;
    }
    refuseUnpermitted(nowNanos);
    for (WaitingEntry entry : waits.overdue(policy.lateMillis(), nowNanos)) {
      waiting.remove(entry.call.request());
      rejections.levels().recordRejected();
      rejections.reject(entry, nowNanos);
    }
  }

  /**
   * Applies the exponential decay of workspace costs for the time since the last call; the first
   * call decays nothing, as the clock starts anywhere.
   */
  public void decayCosts(long nowNanos) {
    if (policy.costWindowMillis() > 0 && decayedNanos.isPresent()) {
      double windows =
          (nowNanos - decayedNanos.getAsLong()) / NANOS_PER_MILLI / policy.costWindowMillis();
      double exponent = DECAY_EXPONENT * windows;
      ledger.decay(exponent);
      costs.decay(exponent);
      ledger.limitUnservedTime();
    }
    decayedNanos = OptionalLong.of(nowNanos);
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
    long delayMillis = Math.round(waits.delayMillis(nowNanos));
    return reports.takeDue(delayMillis, nowNanos)
        ? OptionalLong.of(delayMillis)
        : OptionalLong.empty();
  }

  /**
   * Returns the measured capacity of the usable upstreams; empty if no estimate of load counts and
   * no homes of prefixes depend on it.
   */
  public Optional<SlotMessage.MeasuredCapacity> measuredCapacity(long nowNanos) {
    return usable.measuredCapacity(policy.hasHomesByLoad(upstreams.capacityVaries()), nowNanos);
  }

  /** Returns what to send to the allocators of other data centres now; empty if nothing is due. */
  public Optional<SlotMessage.AllocatorCosts> takeDueCosts(long nowNanos) {
    Optional<List<WorkspaceCost>> due = costs.takeDue(nowNanos);
    if (due.isEmpty()) {
      return Optional.empty();
    }
    double level = rejections.levels().takeLevel();
    return due.get().isEmpty() && level == SlotMessage.AllocatorCosts.ALL_SERVED
        ? Optional.empty()
        : Optional.of(new SlotMessage.AllocatorCosts(service, level, due.get()));
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
        upstreams.status(rule, nowNanos),
        usable.room(UpstreamRequirements.NONE, nowNanos));
  }

  /** Takes over the estimates as of now, and whether objectives count from the first attempt. */
  private void refreshEstimates(long nowNanos) {
    upstreams.refreshEstimates(nowNanos);
    lengths.setApplied(countsFromFirstAttempt());
  }

  private boolean countsFromFirstAttempt() {
    return policy.countsFromFirstAttempt(upstreams.capacityVaries());
  }

  private void onSlotsWanted(String router, SlotMessage.SlotsWanted wanted, long nowNanos) {
    if (wanted.complete()) {
      removeRouter(router, nowNanos);
    }
    for (HeldSlot slot : wanted.held()) {
      UpstreamLoad upstream = upstreams.find(slot.upstream());
      if (upstream != null) {
        allocations.allocate(router, slot.call(), upstream, slot.responseStarted(), nowNanos);
      }
    }
    for (WaitingCall call : wanted.waiting()) {
      if (allocations.holds(router, call.request())) {
        // The grant and this report crossed; the router uses the grant or declines it.
        continue;
      }
      WaitingEntry entry = newEntry(router, call, wanted.tableVersion(), nowNanos);
      regions.update(entry);
      waits.estimateWork(entry, nowNanos);
      if (usable.isUnpermitted(entry)) {
        rejections.reject(entry, nowNanos);
      } else if (entry.callerReturn == CallerReturn.EARLY
          && (!waiting.isEmpty() || promises.outstanding(nowNanos))) {
        rejections.rejectEarly(entry, nowNanos);
      } else if (waits.cannotMeetObjective(entry, nowNanos)) {
        if (waits.meetsObjectiveAlone(entry, nowNanos)) {
          rejections.levels().recordRejected();
        }
        rejections.reject(entry, nowNanos);
      } else {
        waiting.add(entry);
      }
    }
  }

  private WaitingEntry newEntry(String router, WaitingCall call, long tableVersion, long nowNanos) {
    boolean fromFirstAttempt = countsFromFirstAttempt();
    Optional<Rejection> rejection =
        fromFirstAttempt ? promises.findRejection(call, nowNanos) : Optional.empty();
    long ageMillis =
        rejection
            .map(earlier -> (long) ((nowNanos - earlier.firstNanos()) / NANOS_PER_MILLI))
            .orElse(fromFirstAttempt ? call.callerAgeMillis() : 0);
    WaitingEntry entry =
        new WaitingEntry(
            router, call, tableVersion, ++lastSequence, fromFirstAttempt, ageMillis, nowNanos);
    rejection.ifPresent(
        earlier -> {
          entry.callerReturn = RetryPromises.judge(earlier, nowNanos);
          entry.returnNanos = earlier.returnNanos();
        });
    return entry;
  }

  /** Refuses the requests for which no upstream here is permitted any more. */
  private void refuseUnpermitted(long nowNanos) {
    for (WaitingEntry entry : waiting.all().stream().filter(usable::isUnpermitted).toList()) {
      waiting.remove(entry.call.request());
      rejections.reject(entry, nowNanos);
    }
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
    double firstByteMillis = rule.firstByteMillis(upstream, entry.call);
    if (entry.fromFirstAttempt) {
      grantRate.recordGranted(firstByteMillis, nowNanos);
    }
    FairPosition position = ledger.position(entry.workspace());
    rejections.levels().recordGranted(position.virtualService());
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
            Math.round(firstByteMillis),
            ModelSlotRule.uncachedTokens(upstream, entry.call),
            entry.call.prompt().map(upstream.cache::uncachedSharedTokens).orElse(0),
            entry.call.prompt().map(PromptMetadata::sharedTokens).orElse(0),
            entry
                .call
                .prompt()
                .map(prompt -> partUses.recordUse(prompt, upstream.cache, nowNanos))
                .orElse(0),
            upstreams.all().stream()
                .mapToInt(other -> ModelSlotRule.uncachedTokens(other, entry.call))
                .min()
                .orElse(0),
            entry.call.underserved()));
    choice.recordGranted(entry, upstream, nowNanos);
    allocations.allocate(entry.router, entry.call, upstream, false, nowNanos);
    upstreams.cold().recordGrant(upstream, nowNanos);
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotGranted(
                service,
                entry.call.request(),
                upstream.upstream.name(),
                upstreams.cold().isCold(upstream, nowNanos),
                entry.waitedMillis(nowNanos),
                entry.call.timeLeftMillis(),
                upstream.certainVersion(nowNanos))));
  }

  private static HomeCounts.Listener homesListener(
      String service, List<SlotAllocatorEffect> effects) {
    return (prefix, homes, previous) ->
        effects.add(new SlotAllocatorEffect.PrefixHomesChanged(service, prefix, homes, previous));
  }
}

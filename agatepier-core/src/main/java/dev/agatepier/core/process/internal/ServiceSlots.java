package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.Send;
import dev.agatepier.core.process.SlotAllocatorPolicy;
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
   * Change of the delay that is reported before the maximum interval is over: a fixed part, in
   * milliseconds, and a share of the last reported delay. Every router receives each report.
   */
  private static final long DELAY_CHANGE_MILLIS = 10;

  private static final double DELAY_CHANGE_SHARE = 0.25;

  /** Minimum and maximum time between two reports of the delay. */
  private static final long MIN_INTERVAL_NANOS = 250_000_000L;

  private static final long MAX_INTERVAL_NANOS = 1_000_000_000L;

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
  private final AllocatorRegions regions;
  private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
  private final SlotAllocations allocations;
  private final ServedLevels levels = new ServedLevels();
  private final OtherDataCentres otherDataCentres;
  private OptionalLong memoryTokens = OptionalLong.empty();
  private long lastSequence;
  private long reportedDelayMillis;
  private long decayedNanos;
  private long reportedNanos = Long.MIN_VALUE / 2;

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
      AllocatorRegions regions,
      List<SlotAllocatorEffect> effects) {
    this.regions = regions;
    this.otherDataCentres = new OtherDataCentres(regions);
    this.service = entry.name();
    this.policy = policy;
    this.rule = SlotRule.of(entry.kind(), policy);
    this.ledger = ledger;
    this.effects = effects;
    this.costs = new AllocatorCostExchange(ledger);
    this.allocations = new SlotAllocations(rule, ledger);
    this.waiting = new WaitingRequests(ledger);
    this.scheduler = new SlotScheduler(rule, ledger, waiting, upstreams.values(), regions);
  }

  /** Applies the workspace weights, the engine profile and the regions of a table version. */
  public void activate(Table table) {
    ledger.activate(table);
    waiting.all().forEach(regions::update);
    memoryTokens =
        table
            .service(service)
            .flatMap(ServiceEntry::engine)
            .map(engine -> OptionalLong.of(engine.memoryTokens()))
            .orElse(OptionalLong.empty());
    upstreams.values().forEach(upstream -> upstream.memoryTokens = memoryTokens);
  }

  /** Replaces the upstreams; one that restarted or moved starts with no recorded load. */
  public void updateUpstreams(Collection<Upstream> listed, long nowNanos) {
    Map<String, UpstreamLoad> previous = new HashMap<>(upstreams);
    upstreams.clear();
    for (Upstream upstream : listed) {
      UpstreamLoad load = previous.get(upstream.name());
      if (load == null || restarted(load.upstream, upstream)) {
        load = new UpstreamLoad(upstream, nowNanos);
        load.memoryTokens = memoryTokens;
      }
      load.upstream = upstream;
      upstreams.put(upstream.name(), load);
    }
  }

  /** Handles a message of a router. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    switch (message) {
      case SlotMessage.SlotsWanted wanted -> onSlotsWanted(router, wanted, nowNanos);
      case SlotMessage.SlotsChanged(String name, List<SlotChange> changes) ->
          changes.forEach(change -> onSlotChange(router, change, nowNanos));
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
   * Replaces the other data centres in which requests of the service can get slots.
   *
   * @param names data centres whose upstreams are served, by the data centre of the allocator
   */
  public void setOtherDataCentres(Map<String, Set<String>> names) {
    otherDataCentres.replace(names);
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
    upstreams.values().forEach(upstream -> updateStalled(upstream, nowNanos));
    if (waiting.isEmpty()) {
      return;
    }
    refuseUnpermitted(nowNanos);
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
    boolean changed =
        Math.abs(delayMillis - reportedDelayMillis)
            > DELAY_CHANGE_MILLIS + DELAY_CHANGE_SHARE * reportedDelayMillis;
    boolean expired = nowNanos - reportedNanos > MAX_INTERVAL_NANOS;
    if (!expired && !(changed && nowNanos - reportedNanos > MIN_INTERVAL_NANOS)) {
      return OptionalLong.empty();
    }
    reportedDelayMillis = delayMillis;
    reportedNanos = nowNanos;
    return OptionalLong.of(delayMillis);
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
      if (allocations.holds(router, call.request())) {
        // The grant and this report crossed; the router uses the grant or declines it.
        continue;
      }
      WaitingEntry entry =
          new WaitingEntry(router, call, wanted.tableVersion(), ++lastSequence, nowNanos);
      regions.update(entry);
      scheduler.estimateWork(entry, nowNanos);
      if (scheduler.isUnpermitted(entry)) {
        refuse(entry, nowNanos);
      } else if (scheduler.cannotMeetObjective(entry, nowNanos)) {
        if (scheduler.meetsObjectiveAlone(entry, nowNanos)) {
          levels.recordRejected();
        }
        refuse(entry, nowNanos);
      } else {
        waiting.add(entry);
      }
    }
  }

  /** Refuses the requests for which no upstream here is permitted any more. */
  private void refuseUnpermitted(long nowNanos) {
    for (WaitingEntry entry : scheduler.unpermitted()) {
      waiting.remove(entry.call.request());
      refuse(entry, nowNanos);
    }
  }

  private void refuse(WaitingEntry entry, long nowNanos) {
    FairPosition position = ledger.position(entry.workspace());
    String alternative =
        levels
            .alternative(
                entry.call.request(),
                position.virtualService(),
                otherDataCentres.permitted(entry.allowedRegions),
                nowNanos)
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
                service, entry.call.request(), policy.retryAfterMillis(), alternative)));
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
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotGranted(
                service, entry.call.request(), assignment.upstream().upstream.name())));
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

  private static boolean restarted(Upstream previous, Upstream current) {
    return previous.incarnation() != current.incarnation()
        || previous.port() != current.port()
        || !previous.address().equals(current.address());
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
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
import java.util.OptionalLong;

/** The slots of one service's upstreams: who waits for them and who holds them. */
public final class ServiceSlots {

  /** Change of the delay that routers are told of at once, in milliseconds. */
  private static final long DELAY_STEP_MILLIS = 10;

  /** Least time between two words on the delay, and the most. */
  private static final long SPACING_NANOS = 100_000_000L;

  private static final long REPEAT_NANOS = 1_000_000_000L;

  /**
   * Ageing of cost over one window, as an exponent: a workspace that is ahead by all it had stands
   * back for a third of the window, so that within it it gets over half of what others get.
   */
  private static final double AGEING = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final SlotRule rule;
  private final List<SlotAllocatorEffect> effects;
  private final WorkspaceLedger ledger;
  private final AllocatorCostExchange costs;
  private final WaitingRequests board;
  private final SlotScheduler placer;
  private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
  private final SlotAllocations held;
  private OptionalLong memoryTokens = OptionalLong.empty();
  private long lastSequence;
  private long toldDelayMillis;
  private long agedNanos;
  private long toldNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the state of a service without upstreams.
   *
   * @param entry the service
   * @param policy what operators have set
   * @param ledger accounts of the workspaces, which gives their order
   * @param effects where effects are added
   */
  public ServiceSlots(
      ServiceEntry entry,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      List<SlotAllocatorEffect> effects) {
    this.service = entry.name();
    this.policy = policy;
    this.rule = SlotRule.of(entry.kind(), policy);
    this.ledger = ledger;
    this.effects = effects;
    this.costs = new AllocatorCostExchange(ledger);
    this.held = new SlotAllocations(rule, ledger);
    this.board = new WaitingRequests(ledger);
    this.placer = new SlotScheduler(rule, ledger, board, upstreams.values());
  }

  /** Takes the weights and properties of a table version. */
  public void activate(Table table) {
    ledger.activate(table);
    memoryTokens =
        table
            .service(service)
            .flatMap(ServiceEntry::engine)
            .map(engine -> OptionalLong.of(engine.memoryTokens()))
            .orElse(OptionalLong.empty());
    upstreams.values().forEach(upstream -> upstream.memoryTokens = memoryTokens);
  }

  /** Takes the upstreams whose slots are kept here from now on. */
  public void updateUpstreams(Collection<Upstream> listed, long nowNanos) {
    Map<String, UpstreamLoad> before = new HashMap<>(upstreams);
    upstreams.clear();
    for (Upstream upstream : listed) {
      UpstreamLoad load = before.get(upstream.name());
      if (load == null || restarted(load.upstream, upstream)) {
        load = new UpstreamLoad(upstream, nowNanos);
        load.memoryTokens = memoryTokens;
      }
      load.upstream = upstream;
      upstreams.put(upstream.name(), load);
    }
  }

  /** Handles what a router says. */
  public void onMessage(String router, SlotMessage message, long nowNanos) {
    switch (message) {
      case SlotMessage.SlotsWanted wanted -> wanted(router, wanted, nowNanos);
      case SlotMessage.SlotsChanged(String name, List<SlotChange> changes) ->
          changes.forEach(change -> changed(router, change, nowNanos));
      case SlotMessage.AllocatorCosts(String name, List<WorkspaceCost> caused) ->
          costs.onCosts(router, caused);
      case SlotMessage.SlotGranted _,
          SlotMessage.SlotRefused _,
          SlotMessage.AllocatorLoad _,
          SlotMessage.SlotRecalled _ -> {
        // These go from keepers to routers.
      }
    }
  }

  /** Forgets everything that a router had. */
  public void removeRouter(String router, long nowNanos) {
    costs.removeRouter(router);
    dropRouter(router, nowNanos);
  }

  private void dropRouter(String router, long nowNanos) {
    board.removeRouter(router);
    held.releaseRouter(router, nowNanos);
  }

  /** Judges upstreams, grants free slots and refuses what can no longer be in time. */
  public void advance(long nowNanos) {
    upstreams.values().forEach(upstream -> judge(upstream, nowNanos));
    if (board.isEmpty()) {
      return;
    }
    SlotScheduler.Assignment placement = placer.next(nowNanos);
    while (placement != null) {
      grant(placement, nowNanos);
      placement = placer.next(nowNanos);
    }
    for (WaitingEntry entry : placer.overdue(policy.lateMillis(), nowNanos)) {
      board.remove(entry.call.request());
      refuse(entry, nowNanos);
    }
  }

  /** Lets the cost that workspaces have received count for less the older it is. */
  public void decayCosts(long nowNanos) {
    if (policy.costWindowMillis() > 0) {
      double windows = (nowNanos - agedNanos) / NANOS_PER_MILLI / policy.costWindowMillis();
      ledger.decay(Math.exp(-AGEING * windows));
    }
    agedNanos = nowNanos;
  }

  /** Returns the name of the service. */
  public String name() {
    return service;
  }

  /**
   * Returns the expected time until a request that asks now has its slot, in milliseconds, if the
   * routers should be told of it anew.
   */
  public OptionalLong takeDueDelayMillis(long nowNanos) {
    long delayMillis = Math.round(placer.delayMillis(nowNanos));
    boolean changed = Math.abs(delayMillis - toldDelayMillis) > DELAY_STEP_MILLIS;
    boolean old = nowNanos - toldNanos > REPEAT_NANOS;
    if (!old && !(changed && nowNanos - toldNanos > SPACING_NANOS)) {
      return OptionalLong.empty();
    }
    toldDelayMillis = delayMillis;
    toldNanos = nowNanos;
    return OptionalLong.of(delayMillis);
  }

  /** Returns the costs that keepers of other data centres should be told now. */
  public List<WorkspaceCost> takeDueCosts(long nowNanos) {
    return costs.takeDue(nowNanos);
  }

  /** Returns whether nothing waits and nothing is held. */
  public boolean isIdle() {
    return board.isEmpty() && held.isEmpty();
  }

  /** Returns what operators are told. */
  public ServiceSlotsStatus status(long nowNanos) {
    return new ServiceSlotsStatus(
        service,
        board.size(),
        held.size(),
        upstreams.values().stream().map(load -> load.status(rule, nowNanos)).toList());
  }

  private void wanted(String router, SlotMessage.SlotsWanted wanted, long nowNanos) {
    if (wanted.complete()) {
      dropRouter(router, nowNanos);
    }
    for (HeldSlot slot : wanted.held()) {
      UpstreamLoad upstream = upstreams.get(slot.upstream());
      if (upstream != null) {
        held.allocate(router, slot.call(), upstream, slot.responseStarted(), nowNanos);
      }
    }
    for (WaitingCall call : wanted.waiting()) {
      WaitingEntry entry = new WaitingEntry(router, call, ++lastSequence, nowNanos);
      if (placer.cannotMeetObjective(entry, nowNanos)) {
        refuse(entry, nowNanos);
      } else {
        board.add(entry);
      }
    }
  }

  private void refuse(WaitingEntry entry, long nowNanos) {
    effects.add(
        new SlotAllocatorEffect.Rejected(
            service,
            entry.call.request(),
            entry.waitedMillis(nowNanos),
            entry.slackMillis(nowNanos),
            Math.round(placer.expectedMillis(entry, nowNanos))));
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotRefused(service, entry.call.request(), policy.retryAfterMillis())));
  }

  private void changed(String router, SlotChange change, long nowNanos) {
    if (change.stage() == SlotStage.WITHDRAWN) {
      board.remove(change.request());
      return;
    }
    held.onSlotChange(router, change, nowNanos);
  }

  private void grant(SlotScheduler.Assignment placement, long nowNanos) {
    WaitingEntry entry = placement.entry();
    UpstreamLoad upstream = placement.upstream();
    board.remove(entry.call.request());
    effects.add(
        new SlotAllocatorEffect.Placed(
            service,
            entry.call.request(),
            upstream.upstream.name(),
            entry.waitedMillis(nowNanos),
            Math.round(rule.backlogMillis(upstream, nowNanos)),
            Math.round(rule.firstByteMillis(upstream, entry.call)),
            ModelSlotRule.uncachedTokens(upstream, entry.call),
            entry.call.prompt().map(upstream.cache::uncachedSharedTokens).orElse(0),
            upstreams.values().stream()
                .mapToInt(other -> ModelSlotRule.uncachedTokens(other, entry.call))
                .min()
                .orElse(0)));
    held.allocate(entry.router, entry.call, upstream, false, nowNanos);
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotGranted(
                service, entry.call.request(), placement.upstream().upstream.name())));
  }

  /** Leaves an upstream alone that lets requests wait without any sign of work. */
  private void judge(UpstreamLoad upstream, long nowNanos) {
    boolean stalled = upstream.millisSinceProgress(nowNanos) > policy.stallMillis();
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
          .filter(entry -> !entry.responseStarted && entry.call.repeatable())
          .forEach(entry -> recall(entry, upstream));
    }
  }

  private void recall(SlotAllocation entry, UpstreamLoad upstream) {
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotRecalled(service, entry.call.request(), upstream.upstream.name())));
  }

  private static boolean restarted(Upstream before, Upstream now) {
    return before.incarnation() != now.incarnation()
        || before.port() != now.port()
        || !before.address().equals(now.address());
  }
}

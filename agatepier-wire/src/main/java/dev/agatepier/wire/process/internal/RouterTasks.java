package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.process.CostAggregatorDecision;
import dev.agatepier.core.process.CostAggregatorEffect;
import dev.agatepier.core.process.CostAggregatorEvent;
import dev.agatepier.core.process.CostAggregatorPolicy;
import dev.agatepier.core.process.DecisionTask;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.RouterDecision;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.SlotAllocatorDecision;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEvent;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.process.Readiness;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Scheduler;

/** Tasks of a router: for its requests, for aggregating costs and for allocating slots. */
public final class RouterTasks implements MemberTasks {

  private static final Logger LOGGER = LogManager.getLogger(RouterTasks.class);

  /** Capacity of the mailbox of each task. */
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Interval of the timer event while a task is busy, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** Interval of the timer event while a task is idle, in milliseconds. */
  private static final long IDLE_TICK_MILLIS = 250;

  /** Interval of the timer event of a busy cost aggregator, in milliseconds. */
  private static final long COST_TICK_MILLIS = 50;

  private final LinkRegistry links;
  private final PeerIdentity self;
  private final Consumer<RouterEffect> callerEffects;
  private final Consumer<RouterEffect> upstreamEffects;
  private final Runnable stop;
  private final DecisionTask<RouterEvent, RouterEffect> requestTask;
  private final DecisionTask<CostAggregatorEvent, CostAggregatorEffect> costAggregator;
  private final SlotAllocatorDecision allocatorDecision;
  private final DecisionTask<SlotAllocatorEvent, SlotAllocatorEffect> slotAllocator;
  private final RequestMetrics metrics;
  private final SlotMetrics slotMetrics;
  private final RequestHistory history = new RequestHistory();
  private final RouterAdministration administration;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Counter rejectedEvents;
  private volatile boolean draining;
  private volatile Table table = Table.NONE;

  /**
   * Creates the tasks.
   *
   * @param self identity of the router
   * @param policy policy of the router decision
   * @param allocatorPolicy policy of the slot allocator
   * @param dataCentres the regions of the data centres
   * @param links registry of the links to send through
   * @param callers performs effects that concern callers
   * @param upstreams performs effects that concern upstreams that the router calls directly
   * @param metrics metric registry of the process
   * @param scheduler runs the tasks
   * @param stop starts the graceful stop of the process
   */
  public RouterTasks(
      PeerIdentity self,
      RouterPolicy policy,
      SlotAllocatorPolicy allocatorPolicy,
      DataCentreRegions dataCentres,
      LinkRegistry links,
      Consumer<RouterEffect> callers,
      Consumer<RouterEffect> upstreams,
      MetricRegistry metrics,
      Scheduler scheduler,
      Runnable stop) {
    this.self = self;
    this.links = links;
    this.callerEffects = callers;
    this.upstreamEffects = upstreams;
    this.stop = stop;
    this.metrics = new RequestMetrics(metrics);
    slotMetrics = new SlotMetrics(metrics);
    rejectedEvents = metrics.counter(MAILBOX_FULL);
    RouterDecision decision = new RouterDecision(self, policy, allocatorPolicy, dataCentres);
    requestTask =
        new DecisionTask<>(
            decision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::logTaskFailure);
    administration =
        new RouterAdministration(requestTask, decision, history, this.metrics, () -> table);
    costAggregator =
        new DecisionTask<>(
            new CostAggregatorDecision(self, CostAggregatorPolicy.DEFAULT),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::logTaskFailure);
    allocatorDecision = new SlotAllocatorDecision(self, allocatorPolicy, dataCentres);
    slotAllocator =
        new DecisionTask<>(
            allocatorDecision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::logTaskFailure);
    requestTask.startTicks(new RouterEvent.Tick(), TICK_MILLIS, IDLE_TICK_MILLIS);
    slotAllocator.startTicks(new SlotAllocatorEvent.Tick(), TICK_MILLIS, IDLE_TICK_MILLIS);
    costAggregator.startTicks(new CostAggregatorEvent.Tick(), COST_TICK_MILLIS, IDLE_TICK_MILLIS);
  }

  /** Returns the mailbox for events of callers. */
  public Mailbox<RouterEvent> mailbox() {
    return event -> countIfRejected(requestTask.offer(event));
  }

  /** Posts an event that must not be lost; its number is bounded elsewhere, not by the mailbox. */
  public void post(RouterEvent event) {
    requestTask.post(event);
  }

  /** Stops accepting requests; completes when every request has ended. */
  public CompletableFuture<Void> drain() {
    draining = true;
    requestTask.post(new RouterEvent.DrainStarted());
    return drained.copy();
  }

  /**
   * Announces that the process is about to stop; requests that it can serve are still accepted.
   *
   * @param endNanos time by which every request must have ended
   */
  public void announceStop(long endNanos) {
    draining = true;
    requestTask.post(new RouterEvent.StopAnnounced(endNanos));
    slotAllocator.post(new SlotAllocatorEvent.RouterLeaving(self.instance(), true));
  }

  /** Stops the tasks. */
  public CompletableFuture<Void> close() {
    return CompletableFuture.allOf(requestTask.stop(), costAggregator.stop(), slotAllocator.stop());
  }

  @Override
  public void onPeerConnected(PeerIdentity peer) {
    requestTask.post(new RouterEvent.PeerConnected(peer));
    costAggregator.post(new CostAggregatorEvent.PeerConnected(peer));
    if (peer.role() == Role.ROUTER) {
      slotAllocator.post(new SlotAllocatorEvent.RouterConnected(peer));
    }
  }

  @Override
  public boolean onMessage(PeerIdentity peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.CostReport _, LinkMessage.CostChanges _, LinkMessage.DataCentreCosts _ ->
          countIfRejected(
              costAggregator.offer(new CostAggregatorEvent.MessageReceived(peer, message)));
      case SlotMessage.SlotsWanted _,
          SlotMessage.SlotsChanged _,
          SlotMessage.AllocatorCosts _,
          SlotMessage.UpstreamUnavailable _ ->
          countIfRejected(
              slotAllocator.offer(
                  new SlotAllocatorEvent.MessageReceived(peer.instance(), (SlotMessage) message)));
      case SlotMessage reply ->
          countIfRejected(
              requestTask.offer(new RouterEvent.AllocatorMessageReceived(peer.instance(), reply)));
      case LinkMessage.Heartbeat heartbeat when peer.role() == Role.ROUTER -> {
        slotAllocator.post(
            new SlotAllocatorEvent.RouterLeaving(peer.instance(), heartbeat.draining()));
        yield countIfRejected(requestTask.offer(new RouterEvent.MessageReceived(peer, message)));
      }
      default -> countIfRejected(requestTask.offer(new RouterEvent.MessageReceived(peer, message)));
    };
  }

  private boolean countIfRejected(boolean accepted) {
    if (!accepted) {
      rejectedEvents.inc();
    }
    return accepted;
  }

  @Override
  public void onPeerDisconnected(PeerIdentity peer) {
    requestTask.post(new RouterEvent.PeerDisconnected(peer));
    costAggregator.post(new CostAggregatorEvent.PeerDisconnected(peer));
    if (peer.role() == Role.ROUTER) {
      slotAllocator.post(new SlotAllocatorEvent.RouterDisconnected(peer));
    }
  }

  @Override
  public void onTableActivated(Table newTable) {
    table = newTable;
    requestTask.post(new RouterEvent.TableActivated(newTable));
    slotAllocator.post(new SlotAllocatorEvent.TableActivated(newTable));
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    requestTask.post(new RouterEvent.InstancesActivated(instances));
    slotAllocator.post(new SlotAllocatorEvent.InstancesActivated(instances));
  }

  @Override
  public void onInstancesConfirmed(ReadTimestamp readStarted) {
    requestTask.post(new RouterEvent.InstancesConfirmed(readStarted.nanos()));
  }

  @Override
  public void onUpstreamsRead(List<Upstream> read, ReadTimestamp readStarted) {
    requestTask.post(new RouterEvent.UpstreamsRead(read, readStarted.nanos()));
  }

  @Override
  public void onUpstreamsReadFailed(ReadTimestamp readStarted) {
    requestTask.post(new RouterEvent.UpstreamsReadFailed(readStarted.nanos()));
  }

  @Override
  public void onSoftwareVersionsRead(SoftwareVersionHistory history) {
    requestTask.post(new RouterEvent.SoftwareVersionsRead(history));
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public void onDrainRequested() {
    stop.run();
  }

  @Override
  public Readiness readiness() {
    return Readiness.READY;
  }

  @Override
  public CompletableFuture<Object> snapshot() {
    return administration.snapshot();
  }

  @Override
  public CompletableFuture<Map<String, Object>> gauges() {
    return administration.gauges().thenCombine(upstreamGauges(), RouterTasks::joinGauges);
  }

  /** Returns what is known of the upstreams whose slots this router allocates. */
  private CompletableFuture<Map<String, Object>> upstreamGauges() {
    return slotAllocator.ask(
        now -> {
          Map<UpstreamState, Long> counts = allocatorDecision.upstreamCounts(now);
          Map<String, Object> gauges = new TreeMap<>();
          for (UpstreamState state : EnumSet.complementOf(EnumSet.of(UpstreamState.GONE))) {
            gauges.put("upstreams.state." + state.code(), counts.getOrDefault(state, 0L));
          }
          gauges.putAll(UpstreamGauges.of(allocatorDecision.snapshot(now)));
          return gauges;
        });
  }

  private static Map<String, Object> joinGauges(
      Map<String, Object> first, Map<String, Object> second) {
    Map<String, Object> joined = new TreeMap<>(first);
    joined.putAll(second);
    return joined;
  }

  @Override
  public List<AdministrationRoute> routes() {
    return administration.routes();
  }

  private void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send(String instance, LinkMessage message) -> send(instance, message);
      case RouterEffect.RunAttempt _,
          RouterEffect.ReadAttempt _,
          RouterEffect.CancelAttempt _,
          RouterEffect.CancelUnsentAttempt _,
          RouterEffect.SendToOriginCache _,
          RouterEffect.ReadUpstreams _ ->
          upstreamEffects.accept(effect);
      case RouterEffect.QuarantineChanged change -> RequestLog.logQuarantineChanged(change);
      case RouterEffect.QuarantineTrialStarted trial -> RequestLog.logQuarantineTrial(trial);
      case RouterEffect.AllowedRegionsChanged change -> RequestLog.logAllowedRegionsChanged(change);
      case RouterEffect.ResumptionDecided decided -> {
        metrics.recordResumption(decided.source());
        RequestLog.logResumptionDecided(decided);
      }
      case RouterEffect.StreamContinued continued -> {
        metrics.recordContinuation(continued);
        RequestLog.logStreamContinued(continued);
      }
      case RouterEffect.Drained _ -> drained.complete(null);
      case RouterEffect.EndResponse end -> {
        metrics.recordEnded(Outcome.COMPLETED, Optional.empty(), end.metadata());
        history.recordEnded(end.request(), Outcome.COMPLETED, Optional.empty(), end.metadata());
        callerEffects.accept(effect);
      }
      case RouterEffect.FailRequest fail -> {
        metrics.recordEnded(fail.outcome(), Optional.of(fail.reason()), fail.metadata());
        history.recordEnded(
            fail.request(), fail.outcome(), Optional.of(fail.reason()), fail.metadata());
        callerEffects.accept(effect);
      }
      case RouterEffect.BeginResponse _,
          RouterEffect.ContinueResponse _,
          RouterEffect.IssueTicket _ ->
          callerEffects.accept(effect);
    }
  }

  private void perform(SlotAllocatorEffect effect) {
    switch (effect) {
      case SlotAllocatorEffect.Send(String router, SlotMessage message) -> {
        if (router.equals(self.instance())) {
          requestTask.post(new RouterEvent.AllocatorMessageReceived(router, message));
        } else {
          links.send(router, message);
        }
      }
      case SlotAllocatorEffect.Placed grant -> {
        slotMetrics.recordGranted(grant);
        RequestLog.logSlotGranted(grant);
      }
      case SlotAllocatorEffect.PrefixHomesChanged change ->
          RequestLog.logPrefixHomesChanged(change);
      case SlotAllocatorEffect.Rejected rejection -> {
        slotMetrics.recordRejected(rejection);
        RequestLog.logSlotRejected(rejection);
      }
      case SlotAllocatorEffect.UpstreamAvailabilityChanged change ->
          RequestLog.logUpstreamAvailabilityChanged(change);
      case SlotAllocatorEffect.ColdGrants grants -> slotMetrics.recordColdGrants(grants);
      case SlotAllocatorEffect.StartPredicted prediction ->
          slotMetrics.recordPrediction(prediction);
      case SlotAllocatorEffect.UpstreamUsabilityChanged change ->
          RequestLog.logUpstreamUsabilityChanged(change);
    }
  }

  private void perform(CostAggregatorEffect effect) {
    switch (effect) {
      case CostAggregatorEffect.Send send -> links.send(send.instance(), send.message());
    }
  }

  private void send(String instance, LinkMessage message) {
    if (instance.equals(self.instance()) && message instanceof SlotMessage slots) {
      slotAllocator.post(new SlotAllocatorEvent.MessageReceived(instance, slots));
    } else {
      links.send(instance, message);
    }
  }

  private static void logTaskFailure(Throwable failure) {
    LOGGER.error(LogEvent.TASK_FAILED.message(), failure);
  }
}

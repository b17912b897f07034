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
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.process.Readiness;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Scheduler;

/** The tasks of a router: one for its requests, one for the sums it may hold. */
public final class RouterTasks implements MemberTasks {

  private static final Logger LOGGER = LogManager.getLogger(RouterTasks.class);

  /** Events that may wait for a task. */
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Time between two looks at what is due, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** The same while nothing is under way, in milliseconds. */
  private static final long IDLE_TICK_MILLIS = 250;

  /** Time between two looks at the sums, in milliseconds. */
  private static final long HOLDER_TICK_MILLIS = 50;

  private final LinkRegistry links;
  private final PeerIdentity self;
  private final Consumer<RouterEffect> callers;
  private final Consumer<RouterEffect> upstreams;
  private final Runnable stop;
  private final DecisionTask<RouterEvent, RouterEffect> requests;
  private final DecisionTask<CostAggregatorEvent, CostAggregatorEffect> holder;
  private final DecisionTask<SlotAllocatorEvent, SlotAllocatorEffect> keeper;
  private final RequestMetrics metrics;
  private final RequestHistory history = new RequestHistory();
  private final RouterAdministration pages;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Counter refusedEvents;
  private volatile boolean draining;
  private volatile Table table = Table.NONE;

  /**
   * Creates the tasks.
   *
   * @param self identity of the router
   * @param policy what operators have set
   * @param keeperPolicy what operators have set about the slots it keeps
   * @param links registry to send through
   * @param callers carries out effects that concern callers
   * @param upstreams carries out effects that concern upstreams that the router itself calls
   * @param metrics registry of the process's metrics
   * @param scheduler runs the tasks
   * @param stop begins the graceful stop of the process
   */
  public RouterTasks(
      PeerIdentity self,
      RouterPolicy policy,
      SlotAllocatorPolicy keeperPolicy,
      LinkRegistry links,
      Consumer<RouterEffect> callers,
      Consumer<RouterEffect> upstreams,
      MetricRegistry metrics,
      Scheduler scheduler,
      Runnable stop) {
    this.self = self;
    this.links = links;
    this.callers = callers;
    this.upstreams = upstreams;
    this.stop = stop;
    this.metrics = new RequestMetrics(metrics);
    refusedEvents = metrics.counter(MAILBOX_FULL);
    RouterDecision decision = new RouterDecision(self, policy);
    requests =
        new DecisionTask<>(
            decision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::failed);
    pages = new RouterAdministration(requests, decision, history, this.metrics, () -> table);
    holder =
        new DecisionTask<>(
            new CostAggregatorDecision(self, CostAggregatorPolicy.DEFAULT),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::failed);
    keeper =
        new DecisionTask<>(
            new SlotAllocatorDecision(self, keeperPolicy),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::failed);
    requests.repeat(new RouterEvent.TimePassed(), TICK_MILLIS, IDLE_TICK_MILLIS);
    keeper.repeat(new SlotAllocatorEvent.TimePassed(), TICK_MILLIS, IDLE_TICK_MILLIS);
    holder.repeat(new CostAggregatorEvent.TimePassed(), HOLDER_TICK_MILLIS, IDLE_TICK_MILLIS);
  }

  /** Returns where callers' events go. */
  public Mailbox<RouterEvent> mailbox() {
    return event -> counted(requests.offer(event));
  }

  /** Leaves an event that must not be lost; something else bounds their number. */
  public void post(RouterEvent event) {
    requests.post(event);
  }

  /** Takes no new request from now on; completes when every request has ended. */
  public CompletableFuture<Void> drain() {
    draining = true;
    requests.post(new RouterEvent.DrainBegun());
    return drained.copy();
  }

  /** Says that the process is about to stop, though it still takes requests. */
  public void announceStop() {
    draining = true;
    requests.post(new RouterEvent.StopAnnounced());
    keeper.post(new SlotAllocatorEvent.RouterLeaving(self.instance(), true));
  }

  /** Ends the tasks. */
  public CompletableFuture<Void> close() {
    return CompletableFuture.allOf(requests.stop(), holder.stop(), keeper.stop());
  }

  @Override
  public void onPeerConnected(PeerIdentity peer) {
    requests.post(new RouterEvent.PeerConnected(peer));
    holder.post(new CostAggregatorEvent.PeerConnected(peer));
    if (peer.role() == Role.ROUTER) {
      keeper.post(new SlotAllocatorEvent.RouterConnected(peer));
    }
  }

  @Override
  public boolean onMessage(PeerIdentity peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.CostReport _, LinkMessage.CostChanges _, LinkMessage.DataCentreCosts _ ->
          counted(holder.offer(new CostAggregatorEvent.MessageArrived(peer, message)));
      case SlotMessage.SlotsWanted _, SlotMessage.SlotsChanged _, SlotMessage.AllocatorCosts _ ->
          counted(
              keeper.offer(
                  new SlotAllocatorEvent.MessageArrived(peer.instance(), (SlotMessage) message)));
      case SlotMessage answer ->
          counted(
              requests.offer(new RouterEvent.AllocatorMessageReceived(peer.instance(), answer)));
      case LinkMessage.Heartbeat heartbeat when peer.role() == Role.ROUTER -> {
        keeper.post(new SlotAllocatorEvent.RouterLeaving(peer.instance(), heartbeat.draining()));
        yield counted(requests.offer(new RouterEvent.MessageArrived(peer, message)));
      }
      default -> counted(requests.offer(new RouterEvent.MessageArrived(peer, message)));
    };
  }

  private boolean counted(boolean taken) {
    if (!taken) {
      refusedEvents.inc();
    }
    return taken;
  }

  @Override
  public void onPeerDisconnected(PeerIdentity peer) {
    requests.post(new RouterEvent.PeerDisconnected(peer));
    holder.post(new CostAggregatorEvent.PeerDisconnected(peer));
    if (peer.role() == Role.ROUTER) {
      keeper.post(new SlotAllocatorEvent.RouterDisconnected(peer));
    }
  }

  @Override
  public void onTableActivated(Table newTable) {
    table = newTable;
    requests.post(new RouterEvent.TableActivated(newTable));
    keeper.post(new SlotAllocatorEvent.TableActivated(newTable));
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    requests.post(new RouterEvent.InstancesActivated(instances));
    keeper.post(new SlotAllocatorEvent.InstancesActivated(instances));
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
    return new Readiness(true, "");
  }

  @Override
  public CompletableFuture<Object> snapshot() {
    return pages.snapshot();
  }

  @Override
  public CompletableFuture<Map<String, Object>> gauges() {
    return pages.gauges();
  }

  @Override
  public List<AdministrationRoute> routes() {
    return pages.routes();
  }

  private void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send(String instance, LinkMessage message) -> send(instance, message);
      case RouterEffect.RunAttempt _, RouterEffect.ReadAttempt _, RouterEffect.CancelAttempt _ ->
          upstreams.accept(effect);
      case RouterEffect.Drained _ -> drained.complete(null);
      case RouterEffect.EndResponse end -> {
        metrics.recordEnded(Outcome.COMPLETED, Optional.empty(), end.facts());
        history.recordEnded(end.request(), Outcome.COMPLETED, Optional.empty(), end.facts());
        callers.accept(effect);
      }
      case RouterEffect.FailRequest failed -> {
        metrics.recordEnded(failed.outcome(), Optional.of(failed.reason()), failed.facts());
        history.recordEnded(
            failed.request(), failed.outcome(), Optional.of(failed.reason()), failed.facts());
        callers.accept(effect);
      }
      case RouterEffect.BeginResponse _,
          RouterEffect.ContinueResponse _,
          RouterEffect.IssueTicket _ ->
          callers.accept(effect);
    }
  }

  private void perform(SlotAllocatorEffect effect) {
    switch (effect) {
      case SlotAllocatorEffect.Send(String router, SlotMessage message) -> {
        if (router.equals(self.instance())) {
          requests.post(new RouterEvent.AllocatorMessageReceived(router, message));
        } else {
          links.send(router, message);
        }
      }
      case SlotAllocatorEffect.Placed placed -> RequestLog.logSlotGranted(placed);
      case SlotAllocatorEffect.Rejected away -> RequestLog.logSlotRejected(away);
      case SlotAllocatorEffect.UpstreamUsabilityChanged judged ->
          RequestLog.logUpstreamUsabilityChanged(judged);
    }
  }

  private void perform(CostAggregatorEffect effect) {
    switch (effect) {
      case CostAggregatorEffect.Send send -> links.send(send.instance(), send.message());
    }
  }

  private void send(String instance, LinkMessage message) {
    if (instance.equals(self.instance()) && message instanceof SlotMessage slots) {
      keeper.post(new SlotAllocatorEvent.MessageArrived(instance, slots));
    } else {
      links.send(instance, message);
    }
  }

  private static void failed(Throwable failure) {
    LOGGER.error(LogEvent.TASK_FAILED.message(), failure);
  }
}

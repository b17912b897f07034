package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.DecisionTask;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.SidecarDecision;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.process.SidecarSnapshot;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.process.Readiness;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Scheduler;

/** Task of a sidecar, which runs its decision. */
public final class SidecarTasks implements MemberTasks {

  private static final Logger LOGGER = LogManager.getLogger(SidecarTasks.class);

  /** Capacity of the mailbox of the task. */
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Interval of the timer event while attempts are in progress, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** Interval of the timer event while the task is idle, in milliseconds. */
  private static final long IDLE_TICK_MILLIS = 250;

  private final LinkRegistry links;
  private final Consumer<SidecarEffect> upstreamEffects;
  private final Runnable stop;
  private final SidecarDecision decision;
  private final DecisionTask<SidecarEvent, SidecarEffect> task;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final Counter rejectedEvents;
  private volatile boolean draining;
  private volatile Table table = Table.NONE;

  /**
   * Creates the task.
   *
   * @param self identity of the sidecar
   * @param policy policy of the sidecar decision
   * @param links registry of the links to send through
   * @param upstream performs effects that concern the upstream
   * @param metrics metric registry of the process
   * @param scheduler runs the task
   * @param stop starts the graceful stop of the process
   */
  public SidecarTasks(
      PeerIdentity self,
      SidecarPolicy policy,
      LinkRegistry links,
      Consumer<SidecarEffect> upstream,
      MetricRegistry metrics,
      Scheduler scheduler,
      Runnable stop) {
    this.links = links;
    this.upstreamEffects = upstream;
    this.stop = stop;
    rejectedEvents = metrics.counter(MAILBOX_FULL);
    decision = new SidecarDecision(self, policy);
    task =
        new DecisionTask<>(
            decision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
    task.startTicks(new SidecarEvent.Tick(), TICK_MILLIS, IDLE_TICK_MILLIS);
  }

  /** Returns the mailbox for events of the upstream. */
  public Mailbox<SidecarEvent> mailbox() {
    return event -> countIfRejected(task.offer(event));
  }

  private boolean countIfRejected(boolean accepted) {
    if (!accepted) {
      rejectedEvents.inc();
    }
    return accepted;
  }

  /** Stops granting slots; completes when every attempt has ended. */
  public CompletableFuture<Void> drain() {
    draining = true;
    task.post(new SidecarEvent.DrainStarted());
    return drained.copy();
  }

  /** Stops the task. */
  public CompletableFuture<Void> close() {
    return task.stop();
  }

  @Override
  public void onPeerConnected(PeerIdentity peer) {
    task.post(new SidecarEvent.RouterConnected(peer));
  }

  @Override
  public boolean onMessage(PeerIdentity peer, LinkMessage message) {
    return countIfRejected(task.offer(new SidecarEvent.MessageReceived(peer, message)));
  }

  @Override
  public void onPeerDisconnected(PeerIdentity peer) {
    task.post(new SidecarEvent.RouterDisconnected(peer));
  }

  @Override
  public void onTableActivated(Table newTable) {
    table = newTable;
    task.post(new SidecarEvent.TableActivated(newTable));
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    task.post(new SidecarEvent.InstancesActivated(instances));
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
    return task.ask(decision::snapshot);
  }

  @Override
  public CompletableFuture<Map<String, Object>> gauges() {
    return task.ask(
        now -> {
          SidecarSnapshot snapshot = decision.snapshot(now);
          return Map.of(
              "sidecar.slots", snapshot.slots(),
              "sidecar.running", snapshot.running(),
              "sidecar.granted", snapshot.granted(),
              "sidecar.token-gap-millis", snapshot.tokenGapMillis(),
              "sidecar.upstream-healthy", snapshot.healthy(),
              "sidecar.workspaces", snapshot.shares().size());
        });
  }

  @Override
  public List<AdministrationRoute> routes() {
    return List.of(
        AdministrationRoute.of(
            "GET",
            "/v1/workspaces",
            parameters ->
                task.ask(now -> WorkspaceReport.ofSidecar(decision.snapshot(now), table))
                    .thenApply(AdministrationResponses::ok)));
  }

  private void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.Send send -> links.send(send.instance(), send.message());
      case SidecarEffect.Drained _ -> drained.complete(null);
      case SidecarEffect.StartUpstream _,
          SidecarEffect.ReadUpstream _,
          SidecarEffect.CancelUpstream _ ->
          upstreamEffects.accept(effect);
    }
  }
}

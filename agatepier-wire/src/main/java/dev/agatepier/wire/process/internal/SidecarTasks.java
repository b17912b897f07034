package dev.agatepier.wire.process.internal;

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
import dev.agatepier.wire.process.Readiness;
import dev.agatepier.wire.process.WorkspacesStatus;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import reactor.core.scheduler.Scheduler;

/** The task of a sidecar. */
public final class SidecarTasks implements MemberTasks {

  private static final Logger LOGGER = LogManager.getLogger(SidecarTasks.class);

  /** Events that may wait for the task. */
  private static final int MAILBOX_CAPACITY = 16_384;

  /** Time between two looks at what is due, in milliseconds. */
  private static final long TICK_MILLIS = 25;

  /** The same while nothing is under way, in milliseconds. */
  private static final long IDLE_TICK_MILLIS = 250;

  /** Sidecars keep no histogram of waits; routers do. */
  private static final WorkspacesStatus.Percentiles NO_WAITS =
      new WorkspacesStatus.Percentiles(0, 0, 0, 0);

  private final LinkRegistry links;
  private final Consumer<SidecarEffect> upstream;
  private final Runnable stop;
  private final SidecarDecision decision;
  private final DecisionTask<SidecarEvent, SidecarEffect> task;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /**
   * Creates the task.
   *
   * @param self identity of the sidecar
   * @param policy what operators have set
   * @param links registry to send through
   * @param upstream carries out effects that concern the upstream
   * @param scheduler runs the task
   * @param stop begins the graceful stop of the process
   */
  public SidecarTasks(
      PeerIdentity self,
      SidecarPolicy policy,
      LinkRegistry links,
      Consumer<SidecarEffect> upstream,
      Scheduler scheduler,
      Runnable stop) {
    this.links = links;
    this.upstream = upstream;
    this.stop = stop;
    decision = new SidecarDecision(self, policy);
    task =
        new DecisionTask<>(
            decision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            failure -> LOGGER.error(new StringMapMessage().with("event", "task-failed"), failure));
    task.repeat(new SidecarEvent.TimePassed(), TICK_MILLIS, IDLE_TICK_MILLIS);
  }

  /** Returns where the upstream's events go. */
  public Mailbox<SidecarEvent> mailbox() {
    return task;
  }

  /** Grants nothing from now on; completes when every attempt has ended. */
  public CompletableFuture<Void> drain() {
    draining = true;
    task.post(new SidecarEvent.DrainBegun());
    return drained.copy();
  }

  /** Ends the task. */
  public CompletableFuture<Void> close() {
    return task.stop();
  }

  @Override
  public void linked(PeerIdentity peer) {
    task.post(new SidecarEvent.RouterLinked(peer));
  }

  @Override
  public boolean message(PeerIdentity peer, LinkMessage message) {
    return task.offer(new SidecarEvent.MessageArrived(peer, message));
  }

  @Override
  public void unlinked(PeerIdentity peer) {
    task.post(new SidecarEvent.RouterUnlinked(peer));
  }

  @Override
  public void tableInForce(Table table) {
    task.post(new SidecarEvent.TableInForce(table));
  }

  @Override
  public void instancesInForce(InstanceList instances) {
    task.post(new SidecarEvent.InstancesInForce(instances));
  }

  @Override
  public boolean draining() {
    return draining;
  }

  @Override
  public void drainRequested() {
    stop.run();
  }

  @Override
  public Readiness readiness() {
    return new Readiness(true, "");
  }

  @Override
  public CompletableFuture<Object> snapshot() {
    return task.ask(decision::snapshot);
  }

  @Override
  public List<AdministrationRoute> routes() {
    return List.of(
        AdministrationRoute.of(
            "GET",
            "/v1/workspaces",
            parameters ->
                task.ask(now -> workspaces(decision.snapshot(now)))
                    .thenApply(AdministrationReplies::ok)));
  }

  /** What waits is counted at the routers, so that a sum over the fleet counts it once. */
  private static WorkspacesStatus workspaces(SidecarSnapshot snapshot) {
    return new WorkspacesStatus(
        snapshot.shares().stream()
            .map(
                share ->
                    new WorkspacesStatus.WorkspaceStatus(
                        share.workspace(), snapshot.service(), 0, 0, share.localCost(), NO_WAITS))
            .toList());
  }

  private void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.Send send -> links.send(send.instance(), send.message());
      case SidecarEffect.Drained _ -> drained.complete(null);
      case SidecarEffect.StartUpstream _,
          SidecarEffect.ReadUpstream _,
          SidecarEffect.CancelUpstream _ ->
          upstream.accept(effect);
    }
  }
}

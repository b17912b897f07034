package dev.agatepier.wire.process.internal;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.DecisionTask;
import dev.agatepier.core.process.HolderDecision;
import dev.agatepier.core.process.HolderEffect;
import dev.agatepier.core.process.HolderEvent;
import dev.agatepier.core.process.HolderPolicy;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.RouterDecision;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.RouterSnapshot;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.AdministrationAnswer;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.Readiness;
import dev.agatepier.wire.process.WorkspacesStatus;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
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
  private final Consumer<RouterEffect> callers;
  private final Runnable stop;
  private final RouterDecision decision;
  private final DecisionTask<RouterEvent, RouterEffect> requests;
  private final DecisionTask<HolderEvent, HolderEffect> holder;
  private final RequestMetrics metrics;
  private final RequestHistory history = new RequestHistory();
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private volatile boolean draining;

  /**
   * Creates the tasks.
   *
   * @param self identity of the router
   * @param policy what operators have set
   * @param links registry to send through
   * @param callers carries out effects that concern callers
   * @param metrics registry of the process's metrics
   * @param scheduler runs the tasks
   * @param stop begins the graceful stop of the process
   */
  public RouterTasks(
      PeerIdentity self,
      RouterPolicy policy,
      LinkRegistry links,
      Consumer<RouterEffect> callers,
      MetricRegistry metrics,
      Scheduler scheduler,
      Runnable stop) {
    this.links = links;
    this.callers = callers;
    this.stop = stop;
    this.metrics = new RequestMetrics(metrics);
    decision = new RouterDecision(self, policy);
    requests =
        new DecisionTask<>(
            decision,
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::failed);
    holder =
        new DecisionTask<>(
            new HolderDecision(self, HolderPolicy.DEFAULT),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            RouterTasks::failed);
    requests.repeat(new RouterEvent.TimePassed(), TICK_MILLIS, IDLE_TICK_MILLIS);
    holder.repeat(new HolderEvent.TimePassed(), HOLDER_TICK_MILLIS, IDLE_TICK_MILLIS);
  }

  /** Returns where callers' events go. */
  public Mailbox<RouterEvent> mailbox() {
    return requests;
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
  }

  /** Ends the tasks. */
  public CompletableFuture<Void> close() {
    return CompletableFuture.allOf(requests.stop(), holder.stop());
  }

  @Override
  public void linked(PeerIdentity peer) {
    requests.post(new RouterEvent.PeerLinked(peer));
    holder.post(new HolderEvent.PeerLinked(peer));
  }

  @Override
  public boolean message(PeerIdentity peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.CostReport _, LinkMessage.CostChanges _, LinkMessage.DataCentreCosts _ ->
          holder.offer(new HolderEvent.MessageArrived(peer, message));
      default -> requests.offer(new RouterEvent.MessageArrived(peer, message));
    };
  }

  @Override
  public void unlinked(PeerIdentity peer) {
    requests.post(new RouterEvent.PeerUnlinked(peer));
    holder.post(new HolderEvent.PeerUnlinked(peer));
  }

  @Override
  public void tableInForce(Table table) {
    requests.post(new RouterEvent.TableInForce(table));
  }

  @Override
  public void instancesInForce(InstanceList instances) {
    requests.post(new RouterEvent.InstancesInForce(instances));
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
    return requests.ask(decision::snapshot);
  }

  @Override
  public List<AdministrationRoute> routes() {
    return List.of(
        AdministrationRoute.of(
            "GET",
            "/v1/workspaces",
            parameters -> requests.ask(this::workspaces).thenApply(AdministrationReplies::ok)),
        AdministrationRoute.of(
            "GET",
            "/v1/requests/{router}/{incarnation}/{number}",
            parameters ->
                requests.ask(
                    now ->
                        remembered(
                            String.join(
                                "/",
                                parameters.get("router"),
                                parameters.get("incarnation"),
                                parameters.get("number"))))));
  }

  private AdministrationAnswer remembered(String request) {
    return history
        .find(request)
        .map(AdministrationAnswer::ok)
        .orElseGet(AdministrationReplies::notRemembered);
  }

  private WorkspacesStatus workspaces(long nowNanos) {
    return new WorkspacesStatus(
        decision.snapshot(nowNanos).queues().stream().map(this::workspace).toList());
  }

  private WorkspacesStatus.WorkspaceStatus workspace(RouterSnapshot.QueueStatus queue) {
    return new WorkspacesStatus.WorkspaceStatus(
        queue.workspace(),
        queue.service(),
        queue.waiting(),
        queue.running(),
        0,
        metrics.waitPercentiles(queue.workspace(), queue.service()));
  }

  private void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send send -> links.send(send.instance(), send.message());
      case RouterEffect.Drained _ -> drained.complete(null);
      case RouterEffect.EndAnswer end -> {
        metrics.ended(Outcome.COMPLETED, Optional.empty(), end.facts());
        history.ended(end.request(), Outcome.COMPLETED, Optional.empty(), end.facts());
        callers.accept(effect);
      }
      case RouterEffect.FailRequest failed -> {
        metrics.ended(failed.outcome(), Optional.of(failed.reason()), failed.facts());
        history.ended(
            failed.request(), failed.outcome(), Optional.of(failed.reason()), failed.facts());
        callers.accept(effect);
      }
      case RouterEffect.BeginAnswer _, RouterEffect.ContinueAnswer _, RouterEffect.IssueTicket _ ->
          callers.accept(effect);
    }
  }

  private void perform(HolderEffect effect) {
    switch (effect) {
      case HolderEffect.Send send -> links.send(send.instance(), send.message());
    }
  }

  private static void failed(Throwable failure) {
    LOGGER.error(new StringMapMessage().with("event", "task-failed"), failure);
  }
}

package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.process.internal.FleetMember;
import dev.agatepier.wire.process.internal.LinkRegistry;
import dev.agatepier.wire.process.internal.RouterTasks;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** A whole router: an entry instance between callers and sidecars. */
public final class RouterService implements FleetService {

  /** Threads that run the router's tasks. */
  private static final int TASK_THREADS = 2;

  /** Part of the heap that bodies of waiting and running requests may take. */
  private static final int HEAP_DIVISOR_FOR_BODIES = 4;

  private final RouterTasks tasks;
  private final CallerListener callers;
  private final FleetMember member;
  private final Duration grace;

  /**
   * Creates the router; nothing is opened yet.
   *
   * @param settings what it is told
   * @param incarnation differs each time a process starts under the instance's name, and rises
   * @param stop called when an operator asks for the graceful stop
   */
  public RouterService(RouterSettings settings, long incarnation, Runnable stop) {
    CommonSettings common = settings.common();
    grace = Duration.ofMillis(common.stop().graceMillis());
    PeerIdentity self =
        new PeerIdentity(
            common.instance(), incarnation, Role.ROUTER, common.dataCentre(), common.region(), "");
    Scheduler scheduler = Schedulers.newParallel("router", TASK_THREADS);
    LinkRegistry links = new LinkRegistry();
    MetricRegistry metrics = new MetricRegistry();
    tasks =
        new RouterTasks(
            self, settings.policy(), links, this::performForCaller, metrics, scheduler, stop);
    member =
        new FleetMember(
            common,
            self,
            new LinkPlan(self, settings.policy().sidecarsPerService()),
            scheduler,
            links,
            metrics,
            tasks);
    callers =
        new CallerListener(
            callerSettings(settings),
            self,
            Bytes.ofText(common.secret().value()),
            member::table,
            tasks.mailbox(),
            System::nanoTime,
            metrics);
  }

  @Override
  public CompletableFuture<Void> start() {
    return member.start().thenCompose(ignored -> callers.start());
  }

  /**
   * Lets the balancer leave, finishes every request, then closes everything. A request that still
   * comes over an open connection is served, and its connection closed behind the answer.
   */
  @Override
  public CompletableFuture<Void> stop() {
    tasks.announceStop();
    callers.closeAfterAnswers();
    return Mono.delay(grace)
        .then(Mono.fromFuture(callers::stop))
        .then(Mono.fromFuture(tasks::drain))
        .then(Mono.fromFuture(member::stop))
        .then(Mono.fromFuture(tasks::close))
        .toFuture();
  }

  @Override
  public List<String> underWay() {
    return callers.underWay();
  }

  private void performForCaller(RouterEffect effect) {
    callers.perform(effect);
  }

  private static CallerSettings callerSettings(RouterSettings settings) {
    CallerSettings base =
        CallerSettings.listeningOn(settings.callers().address(), settings.callers().port());
    LimitSettings limits = settings.common().limits();
    return new CallerSettings(
        base.address(),
        base.port(),
        limits.headerBytes(),
        limits.bodyBytes(),
        Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_BODIES,
        settings.policy().windowBytes(),
        settings.policy().ticketMillis(),
        base.idleMillis(),
        limits.connections());
  }
}

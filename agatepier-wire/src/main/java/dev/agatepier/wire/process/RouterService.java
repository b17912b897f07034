package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.MemoryBudget;
import dev.agatepier.wire.connection.OriginCacheClient;
import dev.agatepier.wire.connection.UpstreamCaller;
import dev.agatepier.wire.process.internal.FleetMember;
import dev.agatepier.wire.process.internal.LinkRegistry;
import dev.agatepier.wire.process.internal.RouterTasks;
import dev.agatepier.wire.version.InstanceListAge;
import dev.agatepier.wire.version.TableLease;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Service of a router process, which routes requests from callers to upstreams. */
public final class RouterService implements FleetService {

  private static final Logger LOGGER = LogManager.getLogger(RouterService.class);

  /** Gauge of the time since the table was last confirmed to be the latest, in milliseconds. */
  private static final String CONFIRMED_AGE = "table.confirmed-age-millis";

  /** Gauge of the time since the instance list was last confirmed, in milliseconds. */
  private static final String LIST_AGE = "instances.confirmed-age-millis";

  /** Time before the timeout of a stop at which requests without a response end. */
  private static final long FINAL_ANSWERS_MILLIS = 700;

  /** Divisor of the timeout of a stop that gives the maximum time kept for final answers. */
  private static final int FINAL_ANSWERS_DIVISOR = 10;

  /** Divisor of the heap's size that gives the maximum bytes of incomplete responses. */
  private static final int BUFFERED_RESPONSES_DIVISOR = 8;

  private final RouterTasks tasks;
  private final CallerFrontEnd callers;
  private final Optional<UpstreamCaller> upstreams;
  private final Optional<OriginCacheClient> originCaches;
  private final List<ManagedService> services;
  private final FleetMember member;
  private final Scheduler scheduler;
  private final StopSettings stopSettings;

  /**
   * Creates a router in the default environment without opening a socket.
   *
   * @param settings settings of the router
   * @param incarnation number of this start of the instance, higher than that of any earlier start
   * @param stop called when an operator requests a graceful stop
   */
  public RouterService(RouterSettings settings, long incarnation, Runnable stop) {
    this(settings, new DefaultRouterEnvironment(), incarnation, stop);
  }

  /**
   * Creates a router without opening a socket.
   *
   * @param settings settings of the router
   * @param environment implementations that depend on the environment
   * @param incarnation number of this start of the instance, higher than that of any earlier start
   * @param stop called when an operator requests a graceful stop
   */
  public RouterService(
      RouterSettings settings, RouterEnvironment environment, long incarnation, Runnable stop) {
    CommonSettings common = settings.common();
    stopSettings = common.stop();
    final PeerIdentity self =
        new PeerIdentity(
            common.instance(),
            incarnation,
            Role.ROUTER,
            common.dataCentre(),
            common.region(),
            "",
            common.processor().capacity());
    scheduler = environment.scheduler();
    MetricRegistry metrics = new MetricRegistry();
    ProcessResources resources = ProcessResources.ofThisProcess();
    MemoryBudget memory =
        new MemoryBudget(common.limits().memoryBudget(resources), System::nanoTime);
    memory.register(metrics);
    logLimits(common.limits(), resources);
    LinkRegistry links = new LinkRegistry();
    TableLease lease =
        new TableLease(
            common.versions().leaseMillis(), System::nanoTime, System::currentTimeMillis);
    metrics.registerGauge(CONFIRMED_AGE, lease::ageMillis);
    InstanceListAge listAge = new InstanceListAge(System::nanoTime, System::currentTimeMillis);
    metrics.registerGauge(LIST_AGE, listAge::millis);
    tasks =
        new RouterTasks(
            self,
            settings.policy(),
            settings.slots(),
            settings.dataCentres(),
            links,
            this::performForCaller,
            this::performAtUpstream,
            metrics,
            scheduler,
            stop);
    member =
        new FleetMember(
            common,
            self,
            new LinkPlan(self, settings.policy().sidecarsPerService()),
            environment.eventLoops(),
            scheduler,
            links,
            metrics,
            tasks,
            environment.platform(settings, metrics),
            environment.tableFormat(),
            List.of(lease, listAge));
    RouterEnvironment.Context context =
        new RouterEnvironment.Context(
            settings,
            self,
            member::table,
            lease,
            tasks.mailbox(),
            tasks::post,
            System::nanoTime,
            environment.eventLoops(),
            metrics,
            this::readiness,
            common.limits(),
            resources,
            memory,
            member::logTaskFailure);
    callers = environment.callerFrontEnd(context);
    upstreams =
        environment
            .upstreamDialect()
            .map(
                dialect ->
                    new UpstreamCaller(
                        dialect,
                        member::table,
                        listAge::millis,
                        tasks::post,
                        System::nanoTime,
                        environment.eventLoops(),
                        scheduler,
                        metrics,
                        member::logTaskFailure,
                        Runtime.getRuntime().maxMemory() / BUFFERED_RESPONSES_DIVISOR,
                        memory));
    originCaches = originCaches(settings, environment, metrics);
    services = environment.services(context);
  }

  private Optional<OriginCacheClient> originCaches(
      RouterSettings settings, RouterEnvironment environment, MetricRegistry metrics) {
    int port = settings.policy().originCachePort();
    return port == 0
        ? Optional.empty()
        : Optional.of(
            new OriginCacheClient(
                new Endpoint(settings.common().links().address(), port),
                Bytes.ofText(settings.common().secret().value()).array(),
                environment.eventLoops(),
                tasks::post,
                metrics));
  }

  private static void logLimits(LimitSettings limits, ProcessResources resources) {
    LOGGER.info(
        LogEvent.CALLER_LIMITS
            .message()
            .with("connections", limits.callerConnections(resources))
            .with("memoryBytes", limits.memoryBudget(resources))
            .with("descriptors", limits.descriptors(resources))
            .with("heapBytes", resources.heapBytes())
            .with("directBytes", resources.directBytes()));
  }

  @Override
  public CompletableFuture<Void> start() {
    return member
        .start()
        .thenCompose(ignored -> callers.start())
        .thenCompose(ignored -> allOf(services.stream().map(ManagedService::start).toList()))
        .thenCompose(ignored -> ManagedService.orNone(upstreams).start())
        .thenCompose(ignored -> ManagedService.orNone(originCaches).start());
  }

  /**
   * Drains the router and closes everything. First waits for the grace period, so that the load
   * balancer stops sending, then for every request. A request that still arrives on an open
   * connection is served if there is time for it, and the connection is closed after the response.
   */
  @Override
  public CompletableFuture<Void> stop() {
    tasks.announceStop(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(answerMillis()));
    callers.closeAfterResponses();
    return Mono.delay(Duration.ofMillis(stopSettings.graceMillis()))
        .then(Mono.fromFuture(callers::stop))
        .then(Mono.fromFuture(tasks::drain))
        .then(Mono.fromFuture(() -> allOf(services.stream().map(ManagedService::stop).toList())))
        .then(Mono.fromFuture(ManagedService.orNone(upstreams)::stop))
        .then(Mono.fromFuture(ManagedService.orNone(originCaches)::stop))
        .then(Mono.fromFuture(member::stop))
        .then(Mono.fromFuture(tasks::close))
        .doFinally(signal -> scheduler.dispose())
        .toFuture();
  }

  @Override
  public List<String> inFlight() {
    return callers.inFlight();
  }

  /** Returns the milliseconds from the beginning of a stop until every request must have ended. */
  private long answerMillis() {
    long timeoutMillis = stopSettings.timeoutMillis();
    return timeoutMillis - Math.min(FINAL_ANSWERS_MILLIS, timeoutMillis / FINAL_ANSWERS_DIVISOR);
  }

  private Readiness readiness() {
    Readiness readiness = member.readiness();
    return readiness.ready() ? callers.readiness() : readiness;
  }

  private void performForCaller(RouterEffect effect) {
    callers.perform(effect);
  }

  private void performAtUpstream(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.SendToOriginCache datagram ->
          originCaches.ifPresent(client -> client.perform(datagram));
      case RouterEffect.ReadUpstreams _ -> member.readUpstreams();
      default -> upstreams.ifPresent(caller -> caller.perform(effect));
    }
  }

  private static CompletableFuture<Void> allOf(List<CompletableFuture<Void>> steps) {
    return CompletableFuture.allOf(steps.toArray(CompletableFuture[]::new));
  }
}

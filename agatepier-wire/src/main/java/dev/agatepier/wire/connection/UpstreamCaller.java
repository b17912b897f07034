package dev.agatepier.wire.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.connection.internal.UpstreamCallerContext;
import dev.agatepier.wire.connection.internal.UpstreamPool;
import dev.agatepier.wire.process.internal.RequestLog;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * The upstreams' side of a router: runs attempts over HTTP and tells the router's decision what
 * comes of them. All of it runs on one event loop.
 */
public final class UpstreamCaller implements ManagedService {

  /** Time between two looks for connections that have been idle for too long, in milliseconds. */
  private static final long EXPIRE_MILLIS = 250;

  private final UpstreamDialect dialect;
  private final Supplier<Table> tables;
  private final MonotonicClock clock;
  private final LoopResources loops;
  private final Scheduler scheduler;
  private final Counter connections;
  private final Counter unsoundAnswers;
  private final Map<PoolKey, UpstreamPool> pools = new HashMap<>();
  private final Map<AttemptId, UpstreamPool> running = new HashMap<>();
  private final UpstreamCallerContext context;
  private Disposable expiry = Disposables.disposed();

  /** One process of an upstream; another one at its address gets other connections. */
  private record PoolKey(String name, long incarnation, String address, int port) {
    private static PoolKey of(Upstream upstream) {
      return new PoolKey(
          upstream.name(), upstream.incarnation(), upstream.address(), upstream.port());
    }
  }

  /**
   * Creates the caller; nothing is opened yet.
   *
   * @param dialect how upstreams speak
   * @param tables the table in force
   * @param events told of what comes of attempts; no event may be lost
   * @param clock the process's monotonic clock
   * @param loops gives the one event loop
   * @param scheduler runs on that event loop
   * @param metrics registry of the process's metrics
   * @param failures told of failures of a connection's task
   */
  public UpstreamCaller(
      UpstreamDialect dialect,
      Supplier<Table> tables,
      Consumer<RouterEvent> events,
      MonotonicClock clock,
      LoopResources loops,
      Scheduler scheduler,
      MetricRegistry metrics,
      Consumer<Throwable> failures) {
    this.dialect = dialect;
    this.tables = tables;
    this.clock = clock;
    this.loops = loops;
    this.scheduler = scheduler;
    connections = metrics.counter("upstreams.connections-opened");
    unsoundAnswers = metrics.counter("upstreams.unsound-answers");
    context = new Context(events, failures);
  }

  @Override
  public CompletableFuture<Void> start() {
    expiry =
        scheduler.schedulePeriodically(
            this::expire, EXPIRE_MILLIS, EXPIRE_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    expiry.dispose();
    scheduler.schedule(() -> pools.values().forEach(UpstreamPool::closeIdle));
    return CompletableFuture.completedFuture(null);
  }

  /** Carries out an effect that concerns an upstream; others are ignored. */
  public void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.RunAttempt attempt -> run(attempt);
      case RouterEffect.ReadAttempt(AttemptId attempt, long bytes) -> {
        UpstreamPool pool = running.get(attempt);
        if (pool != null) {
          pool.addCredit(attempt, bytes);
        }
      }
      case RouterEffect.CancelAttempt(AttemptId attempt) -> {
        UpstreamPool pool = running.get(attempt);
        if (pool != null) {
          pool.cancel(attempt);
        }
      }
      default -> {
        // Other effects concern others.
      }
    }
  }

  private void run(RouterEffect.RunAttempt attempt) {
    RequestLog.logAttemptStarted(attempt);
    UpstreamPool pool =
        pools.computeIfAbsent(
            PoolKey.of(attempt.upstream()), key -> new UpstreamPool(attempt.upstream(), context));
    running.put(attempt.attempt(), pool);
    pool.start(attempt, tokensPerEvent(attempt.upstream().service()));
  }

  private int tokensPerEvent(String service) {
    return tables
        .get()
        .service(service)
        .flatMap(ServiceEntry::engine)
        .map(EngineProfile::tokensPerEvent)
        .orElse(1);
  }

  private void expire() {
    long now = clock.nanoTime();
    pools.values().removeIf(pool -> pool.closeExpired(now));
  }

  /** What the pools see of the caller. */
  private final class Context implements UpstreamCallerContext {
    private final Consumer<RouterEvent> events;
    private final Consumer<Throwable> failures;

    private Context(Consumer<RouterEvent> events, Consumer<Throwable> failures) {
      this.events = events;
      this.failures = failures;
    }

    @Override
    public UpstreamDialect dialect() {
      return dialect;
    }

    @Override
    public MonotonicClock clock() {
      return clock;
    }

    @Override
    public Consumer<RouterEvent> events() {
      return this::told;
    }

    @Override
    public Consumer<Throwable> failures() {
      return failures;
    }

    @Override
    public LoopResources eventLoops() {
      return loops;
    }

    @Override
    public void onConnecting() {
      connections.inc();
    }

    @Override
    public void onMalformedResponse(Upstream upstream, AttemptId attempt, String flaw) {
      unsoundAnswers.inc();
      RequestLog.logMalformedResponse(upstream.name(), attempt, flaw);
    }

    private void told(RouterEvent event) {
      switch (event) {
        case RouterEvent.UpstreamResponseCompleted ended -> running.remove(ended.attempt());
        case RouterEvent.UpstreamNotRun notRun -> {
          running.remove(notRun.attempt());
          RequestLog.logAttemptNotRun(notRun);
        }
        case RouterEvent.UpstreamFailed failed -> {
          running.remove(failed.attempt());
          RequestLog.logAttemptFailed(failed);
        }
        default -> {
          // The attempt goes on.
        }
      }
      events.accept(event);
    }
  }
}

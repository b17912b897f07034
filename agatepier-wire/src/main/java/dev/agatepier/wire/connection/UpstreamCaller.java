package dev.agatepier.wire.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
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
import dev.agatepier.wire.connection.internal.ContinuedStreams;
import dev.agatepier.wire.connection.internal.EventNumbers;
import dev.agatepier.wire.connection.internal.IncarnationQueries;
import dev.agatepier.wire.connection.internal.IncarnationQuery;
import dev.agatepier.wire.connection.internal.ResponseBudget;
import dev.agatepier.wire.connection.internal.UpstreamCallerContext;
import dev.agatepier.wire.connection.internal.UpstreamPool;
import dev.agatepier.wire.process.internal.RequestLog;
import dev.agatepier.wire.request.ResponseTrace;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * HTTP client of a router that calls upstreams directly. Runs attempts and reports their progress
 * and outcome to the router's decision as events. Everything runs on one event loop.
 */
public final class UpstreamCaller implements ManagedService {

  /** Interval between checks for connections that exceed their idle timeout, in milliseconds. */
  private static final long EXPIRY_CHECK_MILLIS = 250;

  private final UpstreamDialect dialect;
  private final Supplier<Table> activeTable;
  private final LongSupplier listAgeMillis;
  private final MonotonicClock clock;
  private final LoopResources eventLoops;
  private final Scheduler scheduler;
  private final Counter connectionsOpened;
  private final Counter malformedResponses;
  private final Map<ResponseTrace.Delimiter, Counter> completeResponses =
      new EnumMap<>(ResponseTrace.Delimiter.class);
  private final Counter ignoredNotices;
  private final Counter unreadableLoads;
  private final Counter eventGaps;
  private final ContinuedStreams continuedStreams;
  private final IncarnationQueries incarnationQueries;
  private final ResponseBudget responses;
  private final Map<PoolKey, UpstreamPool> pools = new HashMap<>();
  private final Map<AttemptId, UpstreamPool> poolsByAttempt = new HashMap<>();
  private final UpstreamCallerContext context;
  private Disposable expiryTask = Disposables.disposed();

  /** One process of an upstream; a new incarnation at the same address gets its own pool. */
  private record PoolKey(String name, long incarnation, String address, int port) {
    private static PoolKey of(Upstream upstream) {
      return new PoolKey(
          upstream.name(), upstream.incarnation(), upstream.address(), upstream.port());
    }
  }

  /**
   * Creates the client without opening a connection.
   *
   * @param dialect HTTP conventions of upstreams
   * @param activeTable supplies the active table
   * @param listAgeMillis supplies the time since the instance list was confirmed, in milliseconds;
   *     -1 for none
   * @param eventSink receives the events of attempts; must not drop any
   * @param clock monotonic clock of the process
   * @param eventLoops provides the event loop
   * @param scheduler runs tasks on that event loop
   * @param metrics metric registry of the process
   * @param failureHandler receives unexpected exceptions of connections
   * @param maximumBufferedBytes maximum bytes of incomplete responses that are buffered
   * @param memory memory budget of the process
   */
  public UpstreamCaller(
      UpstreamDialect dialect,
      Supplier<Table> activeTable,
      LongSupplier listAgeMillis,
      Consumer<RouterEvent> eventSink,
      MonotonicClock clock,
      LoopResources eventLoops,
      Scheduler scheduler,
      MetricRegistry metrics,
      Consumer<Throwable> failureHandler,
      long maximumBufferedBytes,
      MemoryBudget memory) {
    this.dialect = dialect;
    this.activeTable = activeTable;
    this.listAgeMillis = listAgeMillis;
    this.clock = clock;
    this.eventLoops = eventLoops;
    this.scheduler = scheduler;
    connectionsOpened = metrics.counter("upstreams.connections-opened");
    malformedResponses = metrics.counter("upstreams.unsound-answers");
    for (ResponseTrace.Delimiter delimiter : ResponseTrace.Delimiter.values()) {
      completeResponses.put(
          delimiter, metrics.counter("upstreams.complete-answers-" + delimiter.code()));
    }
    ignoredNotices = metrics.counter("upstreams.notices-ignored");
    unreadableLoads = metrics.counter("upstreams.unreadable-loads");
    eventGaps = metrics.counter("upstreams.event-gaps");
    continuedStreams = new ContinuedStreams(metrics);
    incarnationQueries = new IncarnationQueries(metrics);
    responses =
        new ResponseBudget(
            maximumBufferedBytes, memory, metrics.counter("upstreams.answers-given-up")::inc);
    metrics.register("upstreams.buffered-bytes", (Gauge<Long>) responses::totalBytes);
    context = new Context(eventSink, failureHandler);
  }

  @Override
  public CompletableFuture<Void> start() {
    expiryTask =
        scheduler.schedulePeriodically(
            this::closeExpired, EXPIRY_CHECK_MILLIS, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    expiryTask.dispose();
    scheduler.schedule(() -> pools.values().forEach(UpstreamPool::closeIdle));
    return CompletableFuture.completedFuture(null);
  }

  /** Performs an effect that concerns an upstream; ignores every other effect. */
  public void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.RunAttempt attempt -> run(attempt);
      case RouterEffect.ReadAttempt(AttemptId attempt, long bytes) -> {
        UpstreamPool pool = poolsByAttempt.get(attempt);
        if (pool != null) {
          pool.addCredit(attempt, bytes);
        }
      }
      case RouterEffect.CancelAttempt(AttemptId attempt) -> {
        UpstreamPool pool = poolsByAttempt.get(attempt);
        if (pool != null) {
          pool.cancel(attempt);
        }
      }
      case RouterEffect.CancelUnsentAttempt(AttemptId attempt) -> {
        UpstreamPool pool = poolsByAttempt.get(attempt);
        if (pool != null) {
          pool.cancelUnsent(attempt);
        }
      }
      default -> {
        // Other components perform the other effects.
      }
    }
  }

  private void run(RouterEffect.RunAttempt attempt) {
    RequestLog.logAttemptStarted(attempt, listAgeMillis.getAsLong());
    continuedStreams.count(attempt);
    UpstreamPool pool =
        pools.computeIfAbsent(
            PoolKey.of(attempt.upstream()), key -> new UpstreamPool(attempt.upstream(), context));
    poolsByAttempt.put(attempt.attempt(), pool);
    pool.start(attempt, tokensPerEvent(attempt.upstream().service()));
  }

  private int tokensPerEvent(String service) {
    return activeTable
        .get()
        .service(service)
        .flatMap(ServiceEntry::engine)
        .map(EngineProfile::tokensPerEvent)
        .orElse(1);
  }

  private void closeExpired() {
    long now = clock.nanoTime();
    pools.values().removeIf(pool -> pool.closeExpired(now));
    responses.relieve();
  }

  /** Services of this client that its pools use. */
  private final class Context implements UpstreamCallerContext {
    private final Consumer<RouterEvent> eventSink;
    private final Consumer<Throwable> failureHandler;

    private Context(Consumer<RouterEvent> eventSink, Consumer<Throwable> failureHandler) {
      this.eventSink = eventSink;
      this.failureHandler = failureHandler;
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
      return eventSink;
    }

    @Override
    public Consumer<Throwable> failureHandler() {
      return failureHandler;
    }

    @Override
    public ResponseBudget responses() {
      return responses;
    }

    @Override
    public LoopResources eventLoops() {
      return eventLoops;
    }

    @Override
    public void onUnreadableLoad() {
      unreadableLoads.inc();
    }

    @Override
    public void onConnecting() {
      connectionsOpened.inc();
    }

    @Override
    public void onIncarnationQueried(
        RouterEffect.RunAttempt attempt, IncarnationQuery.Result result) {
      incarnationQueries.record(attempt, result);
    }

    @Override
    public void onResponseCompleted(
        RouterEffect.RunAttempt attempt, EventNumbers numbers, ResponseTrace trace) {
      completeResponses.get(trace.delimiter()).inc();
      if (trace.uncertain() || numbers.gaps() > 0 || attempt.resumeAfter().isPresent()) {
        RequestLog.logAttemptCompleted(attempt.attempt(), numbers, trace);
      }
    }

    @Override
    public void onMalformedResponse(
        Upstream upstream, AttemptId attempt, String detail, ResponseTrace trace) {
      malformedResponses.inc();
      RequestLog.logMalformedResponse(upstream.name(), attempt, detail, trace);
    }

    @Override
    public void onNoticeIgnored(
        Upstream upstream, AttemptId attempt, String detail, boolean first) {
      ignoredNotices.inc();
      if (first) {
        RequestLog.logNoticeIgnored(upstream.name(), attempt, detail);
      }
    }

    @Override
    public void onAttemptEvent(RouterEvent event, EventNumbers numbers) {
      switch (event) {
        case RouterEvent.UpstreamResponseCompleted ended -> {
          poolsByAttempt.remove(ended.attempt());
          eventGaps.inc(numbers.gaps());
        }
        case RouterEvent.UpstreamNotRun notRun -> {
          poolsByAttempt.remove(notRun.attempt());
          RequestLog.logAttemptNotRun(notRun);
        }
        case RouterEvent.UpstreamFailed failed -> {
          poolsByAttempt.remove(failed.attempt());
          eventGaps.inc(numbers.gaps());
          RequestLog.logAttemptFailed(failed, numbers);
        }
        default -> {
          // The attempt is still running.
        }
      }
      eventSink.accept(event);
      if (event instanceof RouterEvent.UpstreamResponseData data) {
        responses.passOn(data.content().size(), scheduler::schedule);
      }
    }
  }
}

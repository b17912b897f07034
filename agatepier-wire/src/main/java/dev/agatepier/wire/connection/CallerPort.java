package dev.agatepier.wire.connection;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.connection.internal.AcceptQueueHandler;
import dev.agatepier.wire.connection.internal.CallerConnection;
import dev.agatepier.wire.connection.internal.CallerLimit;
import dev.agatepier.wire.connection.internal.CallerPipeline;
import dev.agatepier.wire.connection.internal.CallerPortContext;
import dev.agatepier.wire.connection.internal.ConnectionLimitHandler;
import dev.agatepier.wire.connection.internal.LimitIncidents;
import dev.agatepier.wire.connection.internal.OpenConnections;
import dev.agatepier.wire.process.CallerFrontEnd;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.process.ListenerException;
import dev.agatepier.wire.process.OverloadMonitor;
import dev.agatepier.wire.process.Readiness;
import dev.agatepier.wire.process.RouterEnvironment;
import dev.agatepier.wire.process.internal.CallerMetrics;
import dev.agatepier.wire.process.internal.RequestLog;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import dev.agatepier.wire.request.internal.ContentDigest;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * HTTP front end of a router that calls upstreams directly. The port, its connections and the
 * router's task share one event loop, so that response content is never handed between threads.
 */
public final class CallerPort implements CallerFrontEnd {

  /** Retry delay sent to a caller whose request this router cannot accept, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 500;

  /** Accept backlog of the server socket; sized for bursts of callers that connect at once. */
  private static final int ACCEPT_BACKLOG = 1_024;

  /**
   * Connections accepted before the event loop turns to open ones. Netty's epoll transport accepts
   * only one unless it is told not to rely on the number of bytes read.
   */
  private static final int MAXIMUM_ACCEPTS = 16;

  /** Timers of the overload monitor between two checks of the progress of all connections. */
  private static final int TIMERS_PER_CHECK = 5;

  /** Reads from one connection before the event loop turns to the next. */
  private static final int MAXIMUM_READS = 16;

  private final RouterEnvironment.Context router;
  private final CallDialect dialect;
  private final Scheduler scheduler;
  private final CallerMetrics metrics;
  private final OverloadMonitor overload;
  private final Disposable.Swap overloadTimer = Disposables.swap();
  private final Map<RequestId, CallerConnection> inFlight = new HashMap<>();
  private final LimitIncidents incidents;
  private final OpenConnections<CallerConnection> connections;
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private final Context context = new Context();
  private long lastRequestNumber;
  private int timers;
  private boolean closingAfterResponses;
  private boolean stopping;
  private DisposableServer server;

  /**
   * Creates the port; {@link #start} opens the server socket.
   *
   * @param router dependencies that the router shares with its components
   * @param dialect HTTP conventions of callers
   * @param scheduler runs tasks on the router's event loop
   */
  public CallerPort(RouterEnvironment.Context router, CallDialect dialect, Scheduler scheduler) {
    this.router = router;
    this.dialect = dialect;
    this.scheduler = scheduler;
    this.metrics = new CallerMetrics(router.metrics());
    this.overload = new OverloadMonitor(router.clock(), router.metrics());
    this.incidents = new LimitIncidents(router.clock(), router.metrics());
    this.connections =
        new OpenConnections<>(
            router.limits().callerConnections(router.resources()),
            CallerLimit.CONNECTIONS,
            incidents);
  }

  @Override
  public CompletableFuture<Void> start() {
    return configureReads(TcpServer.create())
        .runOn(router.eventLoops())
        .host(router.settings().callers().address())
        .port(router.settings().callers().port())
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAXIMUM_ACCEPTS))
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CallerPipeline.WATER_MARK)
        .doOnChannelInit(
            (observer, channel, remote) -> {
              CallerConnection connection =
                  new CallerConnection(context, dialect.bounds().headerBytes());
              CallerPipeline.install(channel, connection);
              connections.add(connection);
              if (closingAfterResponses) {
                connection.closeAfterResponse();
              }
            })
        .bind()
        .doOnNext(this::onBound)
        .onErrorMap(
            failure ->
                new ListenerException(
                    "cannot listen for callers on "
                        + router.settings().callers().address()
                        + ":"
                        + router.settings().callers().port(),
                    failure))
        .<Void>then()
        .toFuture();
  }

  /**
   * Lets NIO read until nothing is left, so that a request and the end of its connection are seen
   * together. A native transport reports the end without reading.
   */
  private TcpServer configureReads(TcpServer server) {
    return SocketTransport.of(router.eventLoops()).isNio()
        ? server.childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAXIMUM_READS))
        : server;
  }

  private void onBound(DisposableServer bound) {
    server = bound;
    bound.channel().pipeline().addFirst(new ConnectionLimitHandler(connections));
    bound.channel().pipeline().addFirst(new AcceptQueueHandler(overload, MAXIMUM_ACCEPTS));
    scheduleOverloadTimer();
  }

  /** Schedules the timer once: a periodic one would catch up after a delay. */
  private void scheduleOverloadTimer() {
    overloadTimer.replace(
        scheduler.schedule(
            () -> {
              overload.onTimer();
              if (++timers % TIMERS_PER_CHECK == 0) {
                checkProgress();
              }
              scheduleOverloadTimer();
            },
            OverloadMonitor.TIMER_MILLIS,
            TimeUnit.MILLISECONDS));
  }

  private void checkProgress() {
    long now = router.clock().nanoTime();
    connections.forEach(connection -> connection.checkProgress(now));
    incidents.endQuiet();
  }

  /** Returns not ready while overloaded, so that a load balancer selects other routers. */
  @Override
  public Readiness readiness() {
    return overload.overloaded() ? new Readiness(false, "overloaded") : Readiness.READY;
  }

  /** Returns the bound TCP port; call it only after {@link #start} has completed. */
  public int port() {
    return server.port();
  }

  @Override
  public void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.BeginResponse start -> {
        CallerConnection connection = inFlight.get(start.request());
        if (connection != null) {
          connection.startResponse(start.request(), start.head());
        }
      }
      case RouterEffect.ContinueResponse part -> {
        CallerConnection connection = inFlight.get(part.request());
        if (connection != null) {
          connection.writeContent(part.request(), part.content());
        }
      }
      case RouterEffect.EndResponse end -> {
        RequestLog.logCompleted(end.request(), end.metadata());
        CallerConnection connection = inFlight.get(end.request());
        if (connection != null) {
          connection.endResponse(end.request());
        }
      }
      case RouterEffect.FailRequest failed -> {
        RequestLog.logFailed(
            failed.request(), failed.outcome(), failed.reason(), failed.metadata());
        CallerConnection connection = inFlight.get(failed.request());
        if (connection != null) {
          connection.failRequest(
              failed.request(), failed.outcome(), failed.reason(), failed.retryAfterMillis());
        }
      }
      case RouterEffect.IssueTicket _,
          RouterEffect.Send _,
          RouterEffect.RunAttempt _,
          RouterEffect.ReadAttempt _,
          RouterEffect.CancelAttempt _,
          RouterEffect.QuarantineChanged _,
          RouterEffect.QuarantineTrialStarted _,
          RouterEffect.ResumptionDecided _,
          RouterEffect.StreamContinued _,
          RouterEffect.SendToOriginCache _,
          RouterEffect.ReadUpstreams _,
          RouterEffect.AllowedRegionsChanged _,
          RouterEffect.CancelUnsentAttempt _,
          RouterEffect.Drained _ -> {
        // Other components perform these effects.
      }
    }
  }

  @Override
  public void closeAfterResponses() {
    runOnEventLoop(
        () -> {
          closingAfterResponses = true;
          connections.forEach(CallerConnection::closeAfterResponse);
        });
  }

  /** Closes every connection that has no request in flight. */
  public void closeIdle() {
    runOnEventLoop(() -> connections.forEach(CallerConnection::closeIfIdle));
  }

  @Override
  public List<String> inFlight() {
    return inFlight.keySet().stream().map(RequestId::toString).sorted().toList();
  }

  /** Stops accepting connections; the future completes when no request is in flight. */
  @Override
  public CompletableFuture<Void> stop() {
    runOnEventLoop(
        () -> {
          stopping = true;
          overloadTimer.dispose();
          server.dispose();
          connections.forEach(CallerConnection::closeIfIdle);
          completeStopIfIdle();
        });
    return stopped.copy();
  }

  private void completeStopIfIdle() {
    if (stopping && inFlight.isEmpty()) {
      stopped.complete(null);
    }
  }

  private void runOnEventLoop(Runnable task) {
    scheduler.schedule(task);
  }

  /** Services of the port that its connections use. */
  private final class Context implements CallerPortContext {
    @Override
    public CallDialect dialect() {
      return dialect;
    }

    @Override
    public MonotonicClock clock() {
      return router.clock();
    }

    @Override
    public LimitSettings limits() {
      return router.limits();
    }

    @Override
    public MemoryBudget memory() {
      return router.memory();
    }

    @Override
    public LimitIncidents incidents() {
      return incidents;
    }

    @Override
    public Consumer<RouterEvent> events() {
      return router.eventSink();
    }

    @Override
    public Consumer<Throwable> failureHandler() {
      return router.failureHandler();
    }

    @Override
    public RequestId nextRequestId() {
      return new RequestId(
          router.self().instance(), router.self().incarnation(), ++lastRequestNumber);
    }

    @Override
    public boolean submit(
        CallerConnection connection, RequestId request, AcceptedCall call, Bytes body) {
      inFlight.put(request, connection);
      if (overload.overloaded()) {
        connection.closeAfterResponse();
      }
      RouterEvent.CallArrived arrived = callArrived(request, call, body);
      RequestLog.logAdmitted(
          arrived, call, router.activeTable().get().version(), router.lease().ageMillis());
      return router.mailbox().offer(arrived);
    }

    @Override
    public void onRequestRejected(RequestId request, String label, Reason reason) {
      metrics.recordRejected(reason);
      RequestLog.logRejected(request, label, reason);
    }

    @Override
    public long retryAfterMillis(Reason reason) {
      return switch (reason) {
        case OVERLOADED, NOT_READY, STALE_TABLE, DRAINING -> RETRY_AFTER_MILLIS;
        default -> 0;
      };
    }

    @Override
    public void onRequestFinished(RequestId request) {
      inFlight.remove(request);
      completeStopIfIdle();
    }

    @Override
    public void onConnectionClosed(CallerConnection connection) {
      connections.remove(connection);
    }

    private RouterEvent.CallArrived callArrived(RequestId request, AcceptedCall call, Bytes body) {
      return new RouterEvent.CallArrived(
          request,
          call.workspace(),
          call.service(),
          call.head(),
          body,
          new Fingerprint(call.workspace(), call.service(), ContentDigest.of(call.head(), body)),
          Optional.empty(),
          call.deadlineNanos(),
          Optional.of(call.plan()),
          call.prompt(),
          call.resumeAfter(),
          call.allowedRegions(),
          call.labels());
    }
  }
}

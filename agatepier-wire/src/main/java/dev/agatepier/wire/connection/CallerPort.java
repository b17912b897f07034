package dev.agatepier.wire.connection;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.connection.internal.CallerConnection;
import dev.agatepier.wire.connection.internal.CallerPipeline;
import dev.agatepier.wire.connection.internal.CallerPortContext;
import dev.agatepier.wire.process.CallerFrontEnd;
import dev.agatepier.wire.process.ListenerException;
import dev.agatepier.wire.process.RouterEnvironment;
import dev.agatepier.wire.process.internal.CallerMetrics;
import dev.agatepier.wire.process.internal.RequestLog;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import dev.agatepier.wire.request.internal.ContentDigest;
import io.netty.channel.ChannelOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * The callers' side of a router that calls upstreams itself. Port, connections and the router's
 * task share one event loop, so that a part of an answer crosses no thread.
 */
public final class CallerPort implements CallerFrontEnd {

  /** When a caller may come back to a router that could not take its request, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  /** Connections that wait to be accepted; callers connect in crowds. */
  private static final int BACKLOG = 1_024;

  private final RouterEnvironment.Context router;
  private final CallDialect dialect;
  private final Scheduler scheduler;
  private final CallerMetrics metrics;
  private final Map<RequestId, CallerConnection> underWay = new HashMap<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private final Context context = new Context();
  private long lastNumber;
  private boolean closingAfterAnswers;
  private boolean stopping;
  private DisposableServer server;

  /**
   * Creates the port; nothing is opened yet.
   *
   * @param router what the router gives to its parts
   * @param dialect how callers speak
   * @param scheduler runs on the one event loop
   */
  public CallerPort(RouterEnvironment.Context router, CallDialect dialect, Scheduler scheduler) {
    this.router = router;
    this.dialect = dialect;
    this.scheduler = scheduler;
    this.metrics = new CallerMetrics(router.metrics());
  }

  @Override
  public CompletableFuture<Void> start() {
    return TcpServer.create()
        .runOn(router.eventLoops())
        .host(router.settings().callers().address())
        .port(router.settings().callers().port())
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .doOnChannelInit(
            (observer, channel, remote) -> {
              CallerConnection connection = new CallerConnection(context);
              connections.add(connection);
              CallerPipeline.install(channel, connection, dialect.bounds().headerBytes());
              if (closingAfterAnswers) {
                connection.closeAfterResponse();
              }
            })
        .bind()
        .doOnNext(bound -> server = bound)
        .onErrorMap(failure -> new ListenerException("callers cannot be listened for", failure))
        .<Void>then()
        .toFuture();
  }

  /** Returns the port that is listened on, once started. */
  public int port() {
    return server.port();
  }

  @Override
  public void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.BeginResponse begin -> {
        CallerConnection connection = underWay.get(begin.request());
        if (connection != null) {
          connection.startResponse(begin.request(), begin.head());
        }
      }
      case RouterEffect.ContinueResponse next -> {
        CallerConnection connection = underWay.get(next.request());
        if (connection != null) {
          connection.writeContent(next.request(), next.content());
        }
      }
      case RouterEffect.EndResponse end -> {
        RequestLog.logCompleted(end.request(), end.facts());
        CallerConnection connection = underWay.get(end.request());
        if (connection != null) {
          connection.endResponse(end.request());
        }
      }
      case RouterEffect.FailRequest failed -> {
        RequestLog.logFailed(failed.request(), failed.outcome(), failed.reason(), failed.facts());
        CallerConnection connection = underWay.get(failed.request());
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
          RouterEffect.Drained _ -> {
        // These concern others.
      }
    }
  }

  @Override
  public void closeAfterResponses() {
    onLoop(
        () -> {
          closingAfterAnswers = true;
          connections.forEach(CallerConnection::closeAfterResponse);
        });
  }

  /** Closes every connection without a request under way. */
  public void closeIdle() {
    onLoop(() -> List.copyOf(connections).forEach(CallerConnection::closeIfIdle));
  }

  @Override
  public List<String> inFlight() {
    return underWay.keySet().stream().map(RequestId::toString).sorted().toList();
  }

  /** Stops accepting and completes when every request under way has ended. */
  @Override
  public CompletableFuture<Void> stop() {
    onLoop(
        () -> {
          stopping = true;
          server.dispose();
          List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
          completeWhenIdle();
        });
    return idle.copy();
  }

  private void completeWhenIdle() {
    if (stopping && underWay.isEmpty()) {
      idle.complete(null);
    }
  }

  private void onLoop(Runnable step) {
    scheduler.schedule(step);
  }

  /** What the port's connections see of it. */
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
    public Consumer<RouterEvent> events() {
      return router.eventSink();
    }

    @Override
    public Consumer<Throwable> failures() {
      return router.failureHandler();
    }

    @Override
    public RequestId nextRequestId() {
      return new RequestId(router.self().instance(), router.self().incarnation(), ++lastNumber);
    }

    @Override
    public boolean submit(
        CallerConnection connection, RequestId request, AcceptedCall intake, Bytes body) {
      underWay.put(request, connection);
      RequestLog.logAdmitted(
          request, intake, router.activeTable().get().version(), router.lease().ageMillis());
      return router.mailbox().offer(arrived(request, intake, body));
    }

    @Override
    public void onRequestRejected(RequestId request, String label, Reason reason) {
      metrics.recordRejected(reason);
      RequestLog.logRejected(request, label, reason);
    }

    @Override
    public long retryAfterMillis(Reason reason) {
      return switch (reason) {
        case OVERLOADED, NOT_READY, STALE_TABLE, DRAINING -> RETRY_MILLIS;
        default -> 0;
      };
    }

    @Override
    public void onRequestFinished(RequestId request) {
      underWay.remove(request);
      completeWhenIdle();
    }

    @Override
    public void onConnectionClosed(CallerConnection connection) {
      connections.remove(connection);
    }

    private RouterEvent arrived(RequestId request, AcceptedCall intake, Bytes body) {
      return new RouterEvent.CallArrived(
          request,
          intake.workspace(),
          intake.service(),
          intake.head(),
          body,
          new Fingerprint(
              intake.workspace(), intake.service(), ContentDigest.of(intake.head(), body)),
          Optional.empty(),
          intake.deadlineNanos(),
          Optional.of(intake.plan()),
          intake.prompt(),
          intake.resumeAfter());
    }
  }
}

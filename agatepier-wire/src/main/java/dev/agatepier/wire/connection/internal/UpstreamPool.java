package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.connection.internal.IncarnationQuery.Result;
import dev.agatepier.wire.request.ResponseTrace;
import dev.agatepier.wire.request.UpstreamDialect;
import dev.agatepier.wire.request.UpstreamDialect.Classification;
import dev.agatepier.wire.request.UpstreamDialect.LoadStatement;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reactor.core.Disposable;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/** Connection pool of one upstream; reuses the most recently used idle connection first. */
public final class UpstreamPool {

  /**
   * Connect timeout in milliseconds. It is below a second since a lost SYN packet is retransmitted
   * only after a second.
   */
  private static final int CONNECT_MILLIS = 800;

  /** Idle timeout if the upstream does not announce one in a Keep-Alive header. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /**
   * Margin subtracted from the idle timeout, since the close by the upstream arrives with delay.
   */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Bytes of a response that are read also when memory is scarce; most responses are smaller. */
  private static final long UNPAUSED_BYTES = 65_536;

  private final Upstream upstream;
  private final UpstreamCallerContext context;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<UpstreamConnection> open = new HashSet<>();
  private final Map<AttemptId, UpstreamConnection> busy = new HashMap<>();
  private final Map<AttemptId, PendingConnect> pendingConnects = new HashMap<>();
  private final Map<AttemptId, PendingQuery> pendingQueries = new HashMap<>();
  private boolean noticeIgnored;

  /** Whether it did not state its incarnation when it was asked last. */
  private boolean statesNoIncarnation;

  /**
   * An attempt that is not sent yet.
   *
   * @param askedNanos when the upstream was asked for its incarnation; empty if it has to be asked
   */
  private record UnsentAttempt(AttemptExchange exchange, OptionalLong askedNanos) {
    private AttemptId id() {
      return exchange.id();
    }

    /** Returns the attempt with the time that is left after the query. */
    private RunAttempt remaining(long nowNanos) {
      RunAttempt attempt = exchange.attempt();
      return askedNanos.isEmpty()
          ? attempt
          : attempt.withTimeLeft(
              attempt.timeLeftMillis()
                  - TimeUnit.NANOSECONDS.toMillis(nowNanos - askedNanos.getAsLong()));
    }
  }

  /** An attempt that waits for its connection. */
  private record PendingConnect(UnsentAttempt unsent, Disposable.Swap subscription) {}

  /** An attempt whose upstream has been asked for its incarnation. */
  private record PendingQuery(UnsentAttempt unsent, UpstreamConnection connection) {}

  /** Creates an empty pool. */
  public UpstreamPool(Upstream upstream, UpstreamCallerContext context) {
    this.upstream = upstream;
    this.context = context;
  }

  /** Starts an attempt on an idle connection, or on a new one if none is idle. */
  public void start(RunAttempt attempt, int tokensPerEvent) {
    EventNumbers numbers = new EventNumbers();
    AttemptExchange exchange =
        new AttemptExchange(
            attempt, tokensPerEvent, numbers, event -> context.onAttemptEvent(event, numbers));
    UnsentAttempt unsent = new UnsentAttempt(exchange, OptionalLong.empty());
    UpstreamConnection connection = acquireIdle(exchange.request());
    if (connection == null) {
      connect(unsent);
    } else {
      sendIfListed(unsent, connection);
    }
  }

  /** Cancels an attempt; does nothing if it has ended. */
  public void cancel(AttemptId attempt) {
    UpstreamConnection connection = busy.remove(attempt);
    if (!cancelUnsent(attempt) && connection != null) {
      connection.cancel();
    }
  }

  /** Cancels an attempt that waits for its connection or a query; returns whether it was. */
  public boolean cancelUnsent(AttemptId attempt) {
    PendingConnect connect = pendingConnects.remove(attempt);
    if (connect != null) {
      connect.subscription().dispose();
      connect.unsent().exchange().notRun(Reason.WITHDRAWN, false);
      return true;
    }
    PendingQuery query = pendingQueries.remove(attempt);
    if (query != null) {
      query.connection().close();
      query.unsent().exchange().notRun(Reason.WITHDRAWN, false);
      return true;
    }
    return false;
  }

  /** Adds flow-control credit in bytes to the attempt; does nothing if it is not running. */
  public void addCredit(AttemptId attempt, long bytes) {
    UpstreamConnection connection = busy.get(attempt);
    if (connection != null) {
      connection.addCredit(bytes);
    }
  }

  /** Closes idle connections past their timeout; returns whether the pool is empty afterwards. */
  public boolean closeExpired(long nowNanos) {
    List.copyOf(idle).stream()
        .filter(connection -> !connection.isUsable(nowNanos))
        .forEach(UpstreamConnection::close);
    idle.removeIf(connection -> !connection.isUsable(nowNanos));
    return open.isEmpty() && pendingConnects.isEmpty();
  }

  /** Closes every idle connection. */
  public void closeIdle() {
    List.copyOf(idle).forEach(UpstreamConnection::close);
    idle.clear();
  }

  Consumer<Throwable> failureHandler() {
    return context.failureHandler();
  }

  ResponseBudget responses() {
    return context.responses();
  }

  /** Returns whether a connection has to stop reading until it is resumed. */
  boolean pausesReading(UpstreamConnection connection) {
    return connection.exchange().bufferedBytes() > UNPAUSED_BYTES
        && context.responses().pauses(connection);
  }

  Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers) {
    return context.dialect().classifyResponse(attempt, status, headers);
  }

  /** Reports what the head of a response to an attempt says of further requests. */
  void onHead(RunAttempt attempt, int status, List<Header> headers) {
    UpstreamDialect.Notice notice = context.dialect().notice(attempt, status, headers);
    if (!notice.ignored().isEmpty()) {
      context.onNoticeIgnored(upstream, attempt.attempt(), notice.ignored(), !noticeIgnored);
      noticeIgnored = true;
    }
    if (!notice.content().equals(UpstreamNotice.NONE)) {
      context.events().accept(new RouterEvent.UpstreamNoticed(upstream, notice.content()));
    }
  }

  /** Reports the load that the header fields of a response to the attempt state, if any. */
  void reportLoad(AttemptId attempt, List<Header> headers) {
    switch (context.dialect().readLoad(headers)) {
      case LoadStatement.Stated(UpstreamLoadReport report) ->
          context.events().accept(new RouterEvent.UpstreamLoadReported(attempt, report));
      case LoadStatement.Unreadable() -> context.onUnreadableLoad();
      case LoadStatement.Absent() -> {
        // Upstreams may omit it.
      }
    }
  }

  /** Returns the time in nanoseconds until which a connection may be reused after a response. */
  long idleUntil(List<Header> headers) {
    long idleNanos = IDLE_NANOS;
    for (Header header : headers) {
      if (header.name().equals("keep-alive")) {
        idleNanos = KeepAlive.timeoutNanos(header.value()).orElse(IDLE_NANOS);
      }
    }
    return context.clock().nanoTime() + idleNanos - IDLE_MARGIN_NANOS;
  }

  /** Returns a connection to the pool after a complete response. */
  void release(UpstreamConnection connection) {
    busy.values().remove(connection);
    idle.push(connection);
  }

  void onClosed(UpstreamConnection connection) {
    open.remove(connection);
    idle.remove(connection);
    busy.values().remove(connection);
  }

  void onResponseCompleted(AttemptExchange exchange, ResponseTrace trace) {
    context.onResponseCompleted(exchange.attempt(), exchange.numbers(), trace);
  }

  void onMalformedResponse(AttemptExchange exchange, String detail, ResponseTrace trace) {
    context.onMalformedResponse(upstream, exchange == null ? null : exchange.id(), detail, trace);
  }

  /** Removes and returns an idle connection that may carry a request; null if there is none. */
  private UpstreamConnection acquireIdle(RequestId request) {
    long now = context.clock().nanoTime();
    for (UpstreamConnection connection : List.copyOf(idle)) {
      if (!connection.isUsable(now)) {
        idle.remove(connection);
        connection.close();
      } else if (connection.accepts(request)) {
        idle.remove(connection);
        return connection;
      }
    }
    return null;
  }

  /**
   * Sends a request. One that continues a stream, or begins one where another process may run, is
   * sent once the upstream has stated on the same connection that it is the listed process, since
   * another one may have another software version.
   */
  private void sendIfListed(UnsentAttempt unsent, UpstreamConnection connection) {
    RunAttempt attempt = unsent.exchange().attempt();
    boolean continuesStream =
        attempt.resumeAfter().isPresent() && !attempt.softwareVersion().isEmpty();
    boolean beginsInDoubt = attempt.mayBeReplaced() && !statesNoIncarnation;
    boolean asks =
        (continuesStream || beginsInDoubt)
            && upstream.incarnation() != 0
            && unsent.askedNanos().isEmpty();
    Optional<CallHead> request =
        asks ? context.dialect().incarnationRequest(upstream) : Optional.empty();
    if (request.isEmpty() || connection.isConfirmed()) {
      send(unsent, connection);
      return;
    }
    OptionalLong now = OptionalLong.of(context.clock().nanoTime());
    PendingQuery pending = new PendingQuery(new UnsentAttempt(unsent.exchange(), now), connection);
    pendingQueries.put(unsent.id(), pending);
    UpstreamPipeline.installQuery(
        connection.channel(),
        new IncarnationQuery(
            context.dialect(), attempt, request.get(), result -> onQueryEnded(pending, result)));
  }

  private void onQueryEnded(PendingQuery pending, Result result) {
    UnsentAttempt unsent = pending.unsent();
    final UpstreamConnection connection = pending.connection();
    if (!pendingQueries.remove(unsent.id(), pending)) {
      return;
    }
    context.onIncarnationQueried(unsent.exchange().attempt(), result);
    statesNoIncarnation = result instanceof Result.NotStated;
    switch (result) {
      case Result.Stated(long incarnation, boolean reusable) -> {
        if (incarnation == upstream.incarnation()) {
          connection.setConfirmed();
        }
        // Nothing has to fit what another process writes at the start of a stream.
        if (connection.isConfirmed() || unsent.exchange().attempt().mayBeReplaced()) {
          sendAfterQuery(unsent, connection, reusable);
        } else {
          connection.close();
          unsent.exchange().notRun(Reason.UPSTREAM_OTHER, false);
        }
      }
      case Result.NotStated(boolean reusable) -> sendAfterQuery(unsent, connection, reusable);
      case Result.Disconnected() -> {
        connection.close();
        if (connection.isReused()) {
          // The upstream may have closed it because it was idle.
          connect(new UnsentAttempt(unsent.exchange(), OptionalLong.empty()));
        } else {
          unsent.exchange().notRun(Reason.UPSTREAM_UNREACHABLE, false);
        }
      }
    }
  }

  private void sendAfterQuery(
      UnsentAttempt unsent, UpstreamConnection connection, boolean reusable) {
    if (reusable && connection.isBetweenResponses()) {
      send(unsent, connection);
    } else {
      connection.close();
      connect(unsent);
    }
  }

  /** Sends a request, unless its process was suspended or connected for too long since. */
  private void send(UnsentAttempt unsent, UpstreamConnection connection) {
    AttemptExchange exchange = unsent.exchange();
    long now = context.clock().nanoTime();
    if (exchange.attempt().isTooLate(now)) {
      connection.close();
      exchange.notRun(Reason.WITHDRAWN, false);
      return;
    }
    busy.put(exchange.id(), connection);
    if (exchange.attempt().mayBeReplaced() && connection.isConfirmed()) {
      context
          .events()
          .accept(new RouterEvent.UpstreamConfirmed(exchange.id(), upstream.softwareVersion()));
    }
    connection.send(exchange, context.dialect().headers(unsent.remaining(now)));
  }

  private void connect(UnsentAttempt unsent) {
    context.onConnecting();
    PendingConnect pending = new PendingConnect(unsent, reactor.core.Disposables.swap());
    pendingConnects.put(unsent.id(), pending);
    UpstreamConnection connection = new UpstreamConnection(this);
    pending
        .subscription()
        .update(
            client(connection)
                .connect()
                .subscribe(
                    opened -> onConnected(pending, connection, opened),
                    failure -> onConnectFailed(pending)));
  }

  private TcpClient client(UpstreamConnection connection) {
    return TcpClient.create(ConnectionProvider.newConnection())
        .runOn(context.eventLoops())
        .host(upstream.address())
        .port(upstream.port())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, SlicedWriteHandler.WATER_MARK)
        .doOnChannelInit(
            (observer, channel, remote) -> UpstreamPipeline.install(channel, connection));
  }

  private void onConnected(
      PendingConnect pending, UpstreamConnection connection, Connection opened) {
    Channel channel = opened.channel();
    connection.onOpened(channel);
    if (pendingConnects.remove(pending.unsent().id(), pending)) {
      open.add(connection);
      sendIfListed(pending.unsent(), connection);
    } else {
      channel.close();
    }
  }

  private void onConnectFailed(PendingConnect pending) {
    if (pendingConnects.remove(pending.unsent().id(), pending)) {
      pending.unsent().exchange().notRun(Reason.UPSTREAM_UNREACHABLE, false);
    }
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.Upstream;
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
  private boolean noticeIgnored;

  /** An attempt that waits for its connection. */
  private record PendingConnect(AttemptExchange exchange, Disposable.Swap subscription) {}

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
    UpstreamConnection connection = acquireIdle(exchange.request());
    if (connection == null) {
      connect(exchange);
    } else {
      send(exchange, connection);
    }
  }

  /** Cancels an attempt; does nothing if it has ended. */
  public void cancel(AttemptId attempt) {
    UpstreamConnection connection = busy.remove(attempt);
    if (!cancelUnsent(attempt) && connection != null) {
      connection.cancel();
    }
  }

  /** Cancels an attempt whose connection is still being opened; returns whether it was. */
  public boolean cancelUnsent(AttemptId attempt) {
    PendingConnect pending = pendingConnects.remove(attempt);
    if (pending == null) {
      return false;
    }
    pending.subscription().dispose();
    pending.exchange().notRun(Reason.WITHDRAWN, false);
    return true;
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

  /** Sends a request, unless its process was suspended or connected for too long since. */
  private void send(AttemptExchange exchange, UpstreamConnection connection) {
    if (exchange.attempt().isTooLate(context.clock().nanoTime())) {
      connection.close();
      exchange.notRun(Reason.WITHDRAWN, false);
      return;
    }
    busy.put(exchange.id(), connection);
    connection.send(exchange, context.dialect().headers(exchange.attempt()));
  }

  private void connect(AttemptExchange exchange) {
    context.onConnecting();
    PendingConnect pending = new PendingConnect(exchange, reactor.core.Disposables.swap());
    pendingConnects.put(exchange.id(), pending);
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
    if (pendingConnects.remove(pending.exchange().id(), pending)) {
      open.add(connection);
      send(pending.exchange(), connection);
    } else {
      channel.close();
    }
  }

  private void onConnectFailed(PendingConnect pending) {
    if (pendingConnects.remove(pending.exchange().id(), pending)) {
      pending.exchange().notRun(Reason.UPSTREAM_UNREACHABLE, false);
    }
  }
}

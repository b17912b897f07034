package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.request.UpstreamDialect.Classification;
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

/** The connections to one upstream: idle ones are used again, the latest first. */
public final class UpstreamPool {

  /** Longest time for opening a connection: a lost first packet is sent again after a second. */
  private static final int CONNECT_MILLIS = 800;

  /** Time for which an idle connection is kept that the upstream says nothing about. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Part of the announced idle time that is not used, since a close takes time to arrive. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private final Upstream upstream;
  private final UpstreamCallerContext context;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<UpstreamConnection> open = new HashSet<>();
  private final Map<AttemptId, UpstreamConnection> busy = new HashMap<>();
  private final Map<AttemptId, PendingConnect> opening = new HashMap<>();

  /** An attempt whose connection is being opened. */
  private record PendingConnect(AttemptExchange exchange, Disposable.Swap connecting) {}

  /** Creates a pool without connections. */
  public UpstreamPool(Upstream upstream, UpstreamCallerContext context) {
    this.upstream = upstream;
    this.context = context;
  }

  /** Runs an attempt on an idle connection or a new one. */
  public void start(RunAttempt attempt, int tokensPerEvent) {
    AttemptExchange exchange =
        new AttemptExchange(attempt, tokensPerEvent, event -> context.events().accept(event));
    UpstreamConnection connection = takeIdle();
    if (connection == null) {
      connect(exchange);
    } else {
      send(exchange, connection);
    }
  }

  /** Stops an attempt; does nothing if it has ended. */
  public void cancel(AttemptId attempt) {
    PendingConnect early = opening.remove(attempt);
    UpstreamConnection connection = busy.remove(attempt);
    if (early != null) {
      early.connecting().dispose();
      early.exchange().notRun(Reason.WITHDRAWN, false);
    } else if (connection != null) {
      connection.cancel();
    }
  }

  /** Lets more of an answer be read. */
  public void addCredit(AttemptId attempt, long bytes) {
    UpstreamConnection connection = busy.get(attempt);
    if (connection != null) {
      connection.addCredit(bytes);
    }
  }

  /** Closes connections that have been idle for too long; returns whether none is left. */
  public boolean closeExpired(long nowNanos) {
    List.copyOf(idle).stream()
        .filter(connection -> !connection.isUsable(nowNanos))
        .forEach(UpstreamConnection::close);
    idle.removeIf(connection -> !connection.isUsable(nowNanos));
    return open.isEmpty() && opening.isEmpty();
  }

  /** Closes every idle connection. */
  public void closeIdle() {
    List.copyOf(idle).forEach(UpstreamConnection::close);
    idle.clear();
  }

  Consumer<Throwable> failures() {
    return context.failures();
  }

  Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers) {
    return context.dialect().classifyResponse(attempt, status, headers);
  }

  /** Returns until when a connection may be used again after an answer with these headers. */
  long idleUntil(List<Header> headers) {
    long idleNanos = IDLE_NANOS;
    for (Header header : headers) {
      if (header.name().equals("keep-alive")) {
        idleNanos = KeepAlive.timeoutNanos(header.value()).orElse(IDLE_NANOS);
      }
    }
    return context.clock().nanoTime() + idleNanos - MARGIN_NANOS;
  }

  /** Takes back a connection whose attempt has ended well. */
  void release(UpstreamConnection connection) {
    busy.values().remove(connection);
    idle.push(connection);
  }

  void onClosed(UpstreamConnection connection) {
    open.remove(connection);
    idle.remove(connection);
    busy.values().remove(connection);
  }

  void onMalformedResponse(AttemptExchange exchange, String flaw) {
    context.onMalformedResponse(upstream, exchange == null ? null : exchange.id(), flaw);
  }

  private UpstreamConnection takeIdle() {
    long now = context.clock().nanoTime();
    while (!idle.isEmpty()) {
      UpstreamConnection connection = idle.pop();
      if (connection.isUsable(now)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private void send(AttemptExchange exchange, UpstreamConnection connection) {
    busy.put(exchange.id(), connection);
    connection.send(exchange, context.dialect().headers(exchange.attempt()));
  }

  private void connect(AttemptExchange exchange) {
    context.onConnecting();
    PendingConnect early = new PendingConnect(exchange, reactor.core.Disposables.swap());
    opening.put(exchange.id(), early);
    UpstreamConnection connection = new UpstreamConnection(this);
    early
        .connecting()
        .update(
            client(connection)
                .connect()
                .subscribe(opened -> opened(early, connection, opened), failure -> failed(early)));
  }

  private TcpClient client(UpstreamConnection connection) {
    return TcpClient.create(ConnectionProvider.newConnection())
        .runOn(context.eventLoops())
        .host(upstream.address())
        .port(upstream.port())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit(
            (observer, channel, remote) -> UpstreamPipeline.install(channel, connection));
  }

  private void opened(PendingConnect early, UpstreamConnection connection, Connection opened) {
    Channel channel = opened.channel();
    connection.onOpened(channel);
    if (opening.remove(early.exchange().id(), early)) {
      open.add(connection);
      send(early.exchange(), connection);
    } else {
      channel.close();
    }
  }

  private void failed(PendingConnect early) {
    if (opening.remove(early.exchange().id(), early)) {
      early.exchange().notRun(Reason.UPSTREAM_UNREACHABLE, false);
    }
  }
}

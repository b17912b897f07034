package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.process.ListenerException;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** An HTTP server that can be stopped without cutting a request. */
public final class HttpListener implements ManagedService {

  private final UnaryOperator<HttpServer> configuration;
  private final BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final int maximumConnections;
  private final Runnable refused;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicInteger underWay = new AtomicInteger();
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private volatile DisposableServer server;
  private volatile boolean closingAfterAnswers;
  private volatile boolean stopping;

  /**
   * Creates the listener; nothing is opened yet.
   *
   * @param configuration sets address, port and limits
   * @param handler answers a request
   */
  public HttpListener(
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler) {
    this(configuration, handler, Integer.MAX_VALUE, () -> {});
  }

  /**
   * Creates the listener with a bound on its connections; nothing is opened yet.
   *
   * @param configuration sets address, port and limits
   * @param handler answers a request
   * @param maximumConnections most connections at one time; further ones are closed at once
   * @param refused told of each connection that is closed for the bound
   */
  public HttpListener(
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler,
      int maximumConnections,
      Runnable refused) {
    this.configuration = configuration;
    this.handler = handler;
    this.maximumConnections = maximumConnections;
    this.refused = refused;
  }

  @Override
  public CompletableFuture<Void> start() {
    return Mono.defer(() -> server().bind())
        .doOnNext(bound -> server = bound)
        .onErrorMap(failure -> new ListenerException("HTTP cannot be listened for", failure))
        .<Void>then()
        .toFuture();
  }

  /** Returns the port that is listened on, once started. */
  public int port() {
    return server.port();
  }

  /** From now on each connection ends with its next answer, though new ones are accepted. */
  public void closeAfterResponses() {
    closingAfterAnswers = true;
  }

  private void stopAccepting() {
    closingAfterAnswers = true;
    stopping = true;
    if (server != null) {
      server.dispose();
    }
  }

  @Override
  public CompletableFuture<Void> stop() {
    stopAccepting();
    if (underWay.get() == 0) {
      idle.complete(null);
    }
    return idle.thenRun(connections::close);
  }

  private HttpServer server() {
    return configuration
        .apply(HttpServer.create())
        .doOnConnection(this::connected)
        .handle(this::handle);
  }

  private void connected(Connection connection) {
    boolean tooMany = open.incrementAndGet() > maximumConnections;
    connection.channel().closeFuture().addListener(closed -> open.decrementAndGet());
    if (tooMany) {
      refused.run();
      connection.channel().close();
    }
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    underWay.incrementAndGet();
    request.withConnection(this::watch);
    if (closingAfterAnswers) {
      response.keepAlive(false);
    }
    return Mono.defer(() -> handler.apply(request, response));
  }

  /** A request has ended when its last byte is written, which is after the handler is done. */
  private void watch(Connection connection) {
    connections.add(connection.channel());
    connection.onTerminate().doFinally(signal -> finished()).subscribe();
  }

  private void finished() {
    if (underWay.decrementAndGet() == 0 && stopping) {
      idle.complete(null);
    }
  }
}

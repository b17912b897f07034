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

/** HTTP server that can be stopped without aborting a request. */
public final class HttpListener implements ManagedService {

  private final UnaryOperator<HttpServer> configuration;
  private final BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final int maximumConnections;
  private final Runnable onConnectionRejected;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger requestsInFlight = new AtomicInteger();
  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private volatile DisposableServer server;
  private volatile boolean closingAfterResponses;
  private volatile boolean stopping;

  /**
   * Creates a listener without opening a socket.
   *
   * @param configuration applies address, port and limits to the server
   * @param handler handles a request
   */
  public HttpListener(
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler) {
    this(configuration, handler, Integer.MAX_VALUE, () -> {});
  }

  /**
   * Creates a listener with a maximum of connections, without opening a socket.
   *
   * @param configuration applies address, port and limits to the server
   * @param handler handles a request
   * @param maximumConnections maximum connections at one time; any further one is closed
   *     immediately
   * @param onConnectionRejected called for each connection that is closed because of the maximum
   */
  public HttpListener(
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler,
      int maximumConnections,
      Runnable onConnectionRejected) {
    this.configuration = configuration;
    this.handler = handler;
    this.maximumConnections = maximumConnections;
    this.onConnectionRejected = onConnectionRejected;
  }

  @Override
  public CompletableFuture<Void> start() {
    return Mono.defer(() -> server().bind())
        .doOnNext(bound -> server = bound)
        .onErrorMap(failure -> new ListenerException("cannot start the HTTP listener", failure))
        .<Void>then()
        .toFuture();
  }

  /** Returns the port that the started listener is bound to. */
  public int port() {
    return server.port();
  }

  /** Closes each connection after its next response; new connections are still accepted. */
  public void closeAfterResponses() {
    closingAfterResponses = true;
  }

  private void stopAccepting() {
    closingAfterResponses = true;
    stopping = true;
    if (server != null) {
      server.dispose();
    }
  }

  @Override
  public CompletableFuture<Void> stop() {
    stopAccepting();
    if (requestsInFlight.get() == 0) {
      idle.complete(null);
    }
    return idle.thenRun(connections::close);
  }

  private HttpServer server() {
    return configuration
        .apply(HttpServer.create())
        .doOnConnection(this::onConnected)
        .handle(this::handle);
  }

  private void onConnected(Connection connection) {
    boolean tooMany = openConnections.incrementAndGet() > maximumConnections;
    connection.channel().closeFuture().addListener(closed -> openConnections.decrementAndGet());
    if (tooMany) {
      onConnectionRejected.run();
      connection.channel().close();
    }
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    requestsInFlight.incrementAndGet();
    request.withConnection(this::trackConnection);
    if (closingAfterResponses) {
      response.keepAlive(false);
    }
    return Mono.defer(() -> handler.apply(request, response));
  }

  /** Waits for the last byte of the response, which is written after the handler completes. */
  private void trackConnection(Connection connection) {
    connections.add(connection.channel());
    connection.onTerminate().doFinally(signal -> onRequestTerminated()).subscribe();
  }

  private void onRequestTerminated() {
    if (requestsInFlight.decrementAndGet() == 0 && stopping) {
      idle.complete(null);
    }
  }
}

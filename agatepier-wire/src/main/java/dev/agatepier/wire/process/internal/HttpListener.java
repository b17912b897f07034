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
    this.configuration = configuration;
    this.handler = handler;
  }

  @Override
  public CompletableFuture<Void> start() {
    return Mono.defer(() -> configuration.apply(HttpServer.create()).handle(this::handle).bind())
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
  public void closeAfterAnswers() {
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

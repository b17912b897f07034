package dev.agatepier.wire.process;

import dev.agatepier.core.process.ManagedService;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** HTTP server with a single path; {@link #stop} does not wait for requests in flight. */
public final class SinglePathServer implements ManagedService {

  private final String name;
  private final Endpoint endpoint;
  private final String path;
  private final UnaryOperator<HttpServer> configuration;
  private final BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler;
  private DisposableServer server;

  /**
   * Creates the server without opening a socket.
   *
   * @param name name of the served content, for error messages
   * @param endpoint endpoint to listen on
   * @param path the path that is served
   * @param configuration applies further options to the server
   * @param handler handles a request
   */
  public SinglePathServer(
      String name,
      Endpoint endpoint,
      String path,
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    this.name = name;
    this.endpoint = endpoint;
    this.path = path;
    this.configuration = configuration;
    this.handler = handler;
  }

  @Override
  public CompletableFuture<Void> start() {
    return configuration
        .apply(HttpServer.create())
        .host(endpoint.address())
        .port(endpoint.port())
        .route(routes -> routes.get(path, handler))
        .bind()
        .doOnNext(bound -> server = bound)
        .onErrorMap(
            failure -> new ListenerException(name + ": cannot start the HTTP server", failure))
        .<Void>then()
        .toFuture();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return server == null
        ? CompletableFuture.completedFuture(null)
        : Mono.fromRunnable(server::dispose).<Void>then().toFuture();
  }
}

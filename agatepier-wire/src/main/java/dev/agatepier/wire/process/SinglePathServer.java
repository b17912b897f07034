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

/** Serves one page by HTTP; a stop doesn't wait for those who read it. */
public final class SinglePathServer implements ManagedService {

  private final String name;
  private final Endpoint endpoint;
  private final String path;
  private final UnaryOperator<HttpServer> configuration;
  private final BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> page;
  private DisposableServer server;

  /**
   * Creates the port; nothing is opened yet.
   *
   * @param name of what the page shows, for errors
   * @param endpoint where it listens
   * @param path of the page
   * @param configuration sets what else the server needs
   * @param page answers a request
   */
  public SinglePathServer(
      String name,
      Endpoint endpoint,
      String path,
      UnaryOperator<HttpServer> configuration,
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> page) {
    this.name = name;
    this.endpoint = endpoint;
    this.path = path;
    this.configuration = configuration;
    this.page = page;
  }

  @Override
  public CompletableFuture<Void> start() {
    return configuration
        .apply(HttpServer.create())
        .host(endpoint.address())
        .port(endpoint.port())
        .route(routes -> routes.get(path, page))
        .bind()
        .doOnNext(bound -> server = bound)
        .onErrorMap(failure -> new ListenerException(name + " cannot be listened for", failure))
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

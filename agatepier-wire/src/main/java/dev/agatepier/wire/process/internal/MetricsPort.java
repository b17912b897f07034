package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.process.Endpoint;
import dev.agatepier.wire.process.ListenerException;
import dev.agatepier.wire.process.MetricsReport;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Serves a process's metrics as text, one line a figure. */
public final class MetricsPort implements ManagedService {

  private static final String PATH = "/metrics";

  private final Endpoint endpoint;
  private final Supplier<CompletableFuture<MetricsReport>> reports;
  private DisposableServer server;

  /** Creates the port; nothing is opened yet. */
  public MetricsPort(Endpoint endpoint, Supplier<CompletableFuture<MetricsReport>> reports) {
    this.endpoint = endpoint;
    this.reports = reports;
  }

  @Override
  public CompletableFuture<Void> start() {
    return HttpServer.create()
        .host(endpoint.address())
        .port(endpoint.port())
        .route(
            routes ->
                routes.get(
                    PATH,
                    (request, response) ->
                        response
                            .header("Content-Type", "text/plain; charset=utf-8")
                            .sendString(Mono.fromFuture(reports.get()).map(MetricsText::of))))
        .bind()
        .doOnNext(bound -> server = bound)
        .onErrorMap(failure -> new ListenerException("metrics cannot be listened for", failure))
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

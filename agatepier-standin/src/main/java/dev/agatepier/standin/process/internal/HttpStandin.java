package dev.agatepier.standin.process.internal;

import java.util.concurrent.CompletableFuture;
import reactor.netty.http.server.HttpServerRoutes;

/** A stand-in that serves HTTP and runs its tasks on one thread. */
abstract class HttpStandin implements ListeningService {

  /** Runs the tasks and timers of the stand-in. */
  final TaskScheduler scheduler;

  private final StandinHttpServer server;

  HttpStandin(String name, String address, int port) {
    this.scheduler = new TaskScheduler(name);
    this.server = new StandinHttpServer(address, port, this::addAllRoutes);
  }

  @Override
  public final CompletableFuture<Void> start() {
    return server.start();
  }

  @Override
  public final CompletableFuture<Void> stop() {
    return server.stop().whenComplete((done, failure) -> scheduler.close());
  }

  @Override
  public final int port() {
    return server.port();
  }

  private void addAllRoutes(HttpServerRoutes routes) {
    routes.get("/health", (request, response) -> StandinHttpServer.send(response, Reply.healthy()));
    addRoutes(routes);
  }

  /** Adds the routes of the stand-in; called when the server starts. */
  abstract void addRoutes(HttpServerRoutes routes);
}

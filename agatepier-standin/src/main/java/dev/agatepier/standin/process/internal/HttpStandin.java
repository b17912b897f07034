package dev.agatepier.standin.process.internal;

import java.util.concurrent.CompletableFuture;
import reactor.netty.http.server.HttpServerRoutes;

/** A stand-in that serves HTTP and runs its tasks on one thread. */
abstract class HttpStandin implements ListeningService {

  /** Thread of the tasks and their timers. */
  final TaskScheduler scheduler;

  private final StandinHttpServer front;

  HttpStandin(String name, String address, int port) {
    this.scheduler = new TaskScheduler(name);
    this.front = new StandinHttpServer(address, port, this::routeAll);
  }

  @Override
  public final CompletableFuture<Void> start() {
    return front.start();
  }

  @Override
  public final CompletableFuture<Void> stop() {
    return front.stop().whenComplete((done, failure) -> scheduler.close());
  }

  @Override
  public final int port() {
    return front.port();
  }

  private void routeAll(HttpServerRoutes routes) {
    routes.get("/health", (request, response) -> StandinHttpServer.send(response, Reply.healthy()));
    addRoutes(routes);
  }

  /** Declares the calls that are served; called at the start. */
  abstract void addRoutes(HttpServerRoutes routes);
}

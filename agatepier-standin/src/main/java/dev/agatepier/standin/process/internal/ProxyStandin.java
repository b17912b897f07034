package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.connection.DirectionFaults;
import dev.agatepier.standin.connection.RouteFaults;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A TCP proxy that injects faults into its routes, controlled over HTTP. */
final class ProxyStandin implements ListeningService {

  private final TaskScheduler scheduler = new TaskScheduler("proxy");
  private final List<ProxyRoute> routes;
  private final StandinHttpServer control;

  ProxyStandin(
      List<ProxyRoute.Settings> routeSettings, String controlAddress, int controlPort, long seed) {
    this.routes =
        routeSettings.stream().map(each -> new ProxyRoute(each, seed, scheduler)).toList();
    this.control = new StandinHttpServer(controlAddress, controlPort, this::addRoutes);
  }

  @Override
  public CompletableFuture<Void> start() {
    return all(routes.stream().map(ProxyRoute::start).toList())
        .thenCompose(started -> control.start());
  }

  @Override
  public CompletableFuture<Void> stop() {
    return control
        .stop()
        .thenCompose(stopped -> all(routes.stream().map(ProxyRoute::stop).toList()))
        .whenComplete((done, failure) -> scheduler.close());
  }

  @Override
  public int port() {
    return control.port();
  }

  private void addRoutes(HttpServerRoutes http) {
    http.get("/health", (request, response) -> StandinHttpServer.send(response, Reply.healthy()))
        .get("/counts", this::counts)
        .post("/faults", this::putFaults);
  }

  private Publisher<Void> counts(HttpServerRequest request, HttpServerResponse response) {
    List<CompletableFuture<ProxyRoute.Counts>> counts =
        routes.stream().map(ProxyRoute::counts).toList();
    return StandinHttpServer.send(
        response,
        all(counts)
            .thenApply(
                done ->
                    Reply.json(
                        200, Json.write(counts.stream().map(CompletableFuture::join).toList()))));
  }

  private Publisher<Void> putFaults(HttpServerRequest request, HttpServerResponse response) {
    return StandinHttpServer.withBody(
        request,
        response,
        body -> StandinHttpServer.ask(response, reply -> putFaults(body, reply)));
  }

  private boolean putFaults(byte[] body, CompletableFuture<Reply> reply) {
    JsonNode root = Json.read(body, JsonNode.class);
    List<ProxyRoute> affected = routes;
    if (root.path("routes").isArray()) {
      List<String> names = root.path("routes").valueStream().map(JsonNode::asText).toList();
      affected = routes.stream().filter(route -> names.contains(route.name())).toList();
      if (affected.size() != names.size()) {
        throw new IllegalArgumentException("$.routes names a route that is not here");
      }
    }
    RouteFaults faults =
        new RouteFaults(
            root.path("refuse").asBoolean(),
            Json.readOptional(root.path("toTarget"), DirectionFaults.class),
            Json.readOptional(root.path("toCaller"), DirectionFaults.class));
    boolean cut = root.path("cut").asBoolean();
    affected.forEach(route -> route.putFaults(faults, cut));
    reply.complete(Reply.json(200, Json.write(faults)));
    return true;
  }

  private static CompletableFuture<Void> all(List<? extends CompletableFuture<?>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }
}

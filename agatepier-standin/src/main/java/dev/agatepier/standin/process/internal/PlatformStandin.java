package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.process.MailboxTask;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A fake platform: a table and an instance list that can be read and watched over HTTP. */
public final class PlatformStandin extends HttpStandin {

  private static final long DEFAULT_WAIT_SECONDS = 25;

  private final MailboxTask<PlatformMessage> task;

  /**
   * Creates the stand-in; it listens only after its start.
   *
   * @param address IP address to listen on
   * @param port TCP port; 0 for any free one
   * @param stateFile file that keeps the published table and instances across restarts
   */
  public PlatformStandin(String address, int port, Optional<Path> stateFile) {
    super("platform", address, port);
    PlatformTask state = new PlatformTask(stateFile, this::sendAfter);
    this.task = scheduler.task(state::handle);
  }

  private void sendAfter(long delayMillis, PlatformMessage message) {
    scheduler.after(TimeUnit.MILLISECONDS.toNanos(delayMillis), () -> task.offer(message));
  }

  @Override
  void addRoutes(HttpServerRoutes routes) {
    routes
        .get(
            "/v1/table/manifest",
            (request, response) -> read(PlatformMessage.Document.TABLE, request, response))
        .get(
            "/v1/table/pages/{name}",
            (request, response) ->
                ask(response, reply -> new PlatformMessage.ReadPage(request.param("name"), reply)))
        .get(
            "/v1/instances",
            (request, response) -> read(PlatformMessage.Document.INSTANCES, request, response))
        .get(
            "/control/counts",
            (request, response) -> ask(response, PlatformMessage.ReadCounts::new))
        .put("/control/table", this::putTable)
        .put("/control/instances", this::putInstances)
        .post("/control/faults", this::putFaults);
  }

  private Publisher<Void> read(
      PlatformMessage.Document document, HttpServerRequest request, HttpServerResponse response) {
    QueryParameters query = QueryParameters.of(request.uri());
    boolean watch = query.has("after");
    long after = query.number("after", -1);
    long waitSeconds = watch ? query.number("wait", DEFAULT_WAIT_SECONDS) : 0;
    long waitMillis = TimeUnit.SECONDS.toMillis(waitSeconds);
    return ask(response, reply -> new PlatformMessage.Read(document, after, waitMillis, reply));
  }

  private Publisher<Void> putTable(HttpServerRequest request, HttpServerResponse response) {
    long expected = QueryParameters.of(request.uri()).number("expect", -1);
    return withJson(
        request,
        response,
        (root, reply) ->
            new PlatformMessage.PutTable(
                expected, text(root, "workspaces"), text(root, "services"), reply));
  }

  private Publisher<Void> putInstances(HttpServerRequest request, HttpServerResponse response) {
    return withJson(
        request,
        response,
        (root, reply) -> {
          if (!root.path("instances").isArray()) {
            throw new IllegalArgumentException("$.instances must be an array");
          }
          return new PlatformMessage.PutInstances(root.path("instances"), reply);
        });
  }

  private Publisher<Void> putFaults(HttpServerRequest request, HttpServerResponse response) {
    return withJson(
        request,
        response,
        (root, reply) ->
            new PlatformMessage.PutFaults(
                Json.read(root.toString().getBytes(), PlatformFaults.class), reply));
  }

  private Publisher<Void> withJson(
      HttpServerRequest request, HttpServerResponse response, MessageReader reader) {
    return StandinHttpServer.withBody(
        request,
        response,
        body -> ask(response, reply -> reader.read(Json.read(body, JsonNode.class), reply)));
  }

  private Publisher<Void> ask(
      HttpServerResponse response, Function<CompletableFuture<Reply>, PlatformMessage> message) {
    return StandinHttpServer.ask(response, reply -> task.offer(message.apply(reply)));
  }

  private static String text(JsonNode root, String name) {
    return root.path(name).isTextual() ? root.path(name).asText() : null;
  }

  /** Turns a JSON body into a message. */
  @FunctionalInterface
  private interface MessageReader {
    PlatformMessage read(JsonNode root, CompletableFuture<Reply> reply);
  }
}

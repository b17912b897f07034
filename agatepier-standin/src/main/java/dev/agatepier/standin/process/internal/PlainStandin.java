package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.standin.request.PlainCall;
import dev.agatepier.standin.request.RunRecord;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** A fake plain service, some of whose calls aren't idempotent. */
public final class PlainStandin extends HttpStandin {

  private final RunLog log;
  private final MailboxTask<PlainTask.Message> task;

  /**
   * Creates the stand-in; it listens only after its start.
   *
   * @param address IP address to listen on
   * @param port TCP port; 0 for any free one
   * @param serviceMillis duration of a call, in milliseconds
   * @param concurrency maximum number of concurrently served calls
   * @param recordFile file to which a record of each request is appended
   */
  public PlainStandin(
      String address, int port, long serviceMillis, int concurrency, Optional<Path> recordFile) {
    super("plain", address, port);
    this.log = new RunLog(scheduler, recordFile);
    PlainTask state = new PlainTask(serviceMillis, concurrency, this::sendAfter, log::put);
    this.task = scheduler.task(state::handle);
  }

  private void sendAfter(long delayNanos, PlainTask.Message message) {
    scheduler.after(delayNanos, () -> task.offer(message));
  }

  @Override
  void addRoutes(HttpServerRoutes routes) {
    routes
        .get("/control/ran", (request, response) -> StandinHttpServer.send(response, log.read()))
        .post("/control/settings", this::putSettings)
        .route(request -> true, this::serve);
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    return StandinHttpServer.withBody(
        request,
        response,
        body -> StandinHttpServer.ask(response, reply -> submit(request, body, reply)));
  }

  private boolean submit(HttpServerRequest request, byte[] body, CompletableFuture<Reply> reply) {
    RunRecord record = log.recordArrival(request, body);
    PlainCall call = PlainCall.of(request.method().name(), request.uri(), body);
    return task.offer(new PlainTask.Message.Submit(record, call, reply));
  }

  private Publisher<Void> putSettings(HttpServerRequest request, HttpServerResponse response) {
    return StandinHttpServer.withBody(
        request,
        response,
        body -> StandinHttpServer.ask(response, reply -> changeSettings(body, reply)));
  }

  private boolean changeSettings(byte[] body, CompletableFuture<Reply> reply) {
    JsonNode changes = Json.read(body, JsonNode.class);
    return task.offer(
        new PlainTask.Message.PutSettings(
            changes.path("serviceMillis").asLong(-1), changes.path("concurrency").asInt(0), reply));
  }
}

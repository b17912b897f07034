package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.standin.request.ModelCall;
import dev.agatepier.standin.request.internal.EngineStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * A fake model engine with continuous batching and a prefix cache. It has no priorities: it runs
 * requests in the order in which they arrive.
 */
public final class EngineStandin extends HttpStandin {

  private final RunLog log;
  private final MailboxTask<EngineMessage> task;

  /**
   * Creates the stand-in; it listens only after its start.
   *
   * @param address IP address to listen on
   * @param port TCP port; 0 for any free one
   * @param settings initial settings
   * @param seed seed of the random jitter of its step durations
   * @param recordFile file to which a record of each request is appended
   */
  EngineStandin(
      String address, int port, EngineSettings settings, long seed, Optional<Path> recordFile) {
    super("engine", address, port);
    this.log = new RunLog(scheduler, recordFile);
    EngineTask state = new EngineTask(settings, seed, System::nanoTime, this::sendAfter, log::put);
    this.task = scheduler.task(state::handle);
  }

  private void sendAfter(long delayNanos, EngineMessage message) {
    scheduler.after(delayNanos, () -> task.offer(message));
  }

  @Override
  void addRoutes(HttpServerRoutes routes) {
    routes
        .post("/v1/chat/completions", this::complete)
        .get("/load", (request, response) -> ask(response, EngineMessage.ReadLoad::new))
        .get("/control/ran", (request, response) -> StandinHttpServer.send(response, log.read()))
        .post("/control/settings", this::putSettings);
  }

  private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
    return StandinHttpServer.withBody(request, response, body -> run(request, response, body));
  }

  private Publisher<Void> run(HttpServerRequest request, HttpServerResponse response, byte[] body) {
    EngineStream stream;
    try {
      ModelCall call = ModelCall.parse(body);
      stream = new EngineStream(log.recordArrival(request, body), call);
    } catch (IllegalArgumentException invalid) {
      return StandinHttpServer.send(response, Reply.error(400, invalid.getMessage()));
    }
    if (!task.offer(new EngineMessage.Submit(stream))) {
      return StandinHttpServer.send(response, Reply.error(503, "the engine's mailbox is full"));
    }
    return respond(response, stream);
  }

  private Publisher<Void> respond(HttpServerResponse response, EngineStream stream) {
    ChannelFutureListener closed = future -> task.offer(new EngineMessage.Cancel(stream));
    response.withConnection(c -> c.channel().closeFuture().addListener(closed));
    Flux<String> events =
        stream
            .events()
            .doOnCancel(() -> task.offer(new EngineMessage.Cancel(stream)))
            .doFinally(signal -> response.withConnection(c -> removeListener(c.channel(), closed)));
    if (stream.call().stream()) {
      return response.sse().sendString(events);
    }
    response.header("Content-Type", "application/json");
    return response.sendString(events.then(Mono.fromSupplier(stream.call()::bufferedResponseBody)));
  }

  private Publisher<Void> putSettings(HttpServerRequest request, HttpServerResponse response) {
    return StandinHttpServer.withBody(
        request,
        response,
        body ->
            ask(
                response,
                reply -> new EngineMessage.PutSettings(Json.read(body, JsonNode.class), reply)));
  }

  private Publisher<Void> ask(
      HttpServerResponse response, Function<CompletableFuture<Reply>, EngineMessage> message) {
    return StandinHttpServer.ask(response, reply -> task.offer(message.apply(reply)));
  }

  private static void removeListener(Channel channel, ChannelFutureListener listener) {
    channel.closeFuture().removeListener(listener);
  }
}

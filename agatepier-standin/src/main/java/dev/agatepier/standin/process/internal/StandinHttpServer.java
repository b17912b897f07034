package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.ManagedService;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP server of a stand-in. */
final class StandinHttpServer implements ManagedService {

  private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAXIMUM_HEADER_BYTES = 65_536;

  private final String address;
  private final int port;
  private final Consumer<HttpServerRoutes> routes;
  private DisposableServer server;

  StandinHttpServer(String address, int port, Consumer<HttpServerRoutes> routes) {
    this.address = address;
    this.port = port;
    this.routes = routes;
  }

  @Override
  public CompletableFuture<Void> start() {
    return HttpServer.create()
        .host(address)
        .port(port)
        .httpRequestDecoder(decoder -> decoder.maxHeaderSize(MAXIMUM_HEADER_BYTES))
        .route(routes)
        .bind()
        .doOnNext(bound -> server = bound)
        .then()
        .toFuture();
  }

  @Override
  public CompletableFuture<Void> stop() {
    if (server == null) {
      return CompletableFuture.completedFuture(null);
    }
    server.dispose();
    return server.onDispose().toFuture();
  }

  /** Returns the port that was bound. */
  int port() {
    return server.port();
  }

  /** Reads a body whole and answers it; one above the bound is refused with status 413. */
  static Publisher<Void> withBody(
      HttpServerRequest request,
      HttpServerResponse response,
      Function<byte[], Publisher<Void>> answer) {
    return request
        .receive()
        .asByteArray()
        .collect(ByteArrayOutputStream::new, StandinHttpServer::append)
        .map(ByteArrayOutputStream::toByteArray)
        .map(Optional::of)
        .onErrorResume(BodyTooLarge.class, tooLarge -> Mono.just(Optional.empty()))
        .flatMap(
            body ->
                body.isEmpty()
                    ? send(response, Reply.error(413, "above " + MAXIMUM_BODY_BYTES + " bytes"))
                    : Mono.from(answer.apply(body.get())));
  }

  /** Asks a task for a reply and sends it; the question says whether the task's mailbox took it. */
  static Publisher<Void> ask(
      HttpServerResponse response, Predicate<CompletableFuture<Reply>> question) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    try {
      if (!question.test(reply)) {
        reply.complete(Reply.error(503, "the mailbox is full"));
      }
    } catch (IllegalArgumentException invalid) {
      reply.complete(Reply.error(400, invalid.getMessage()));
    }
    return send(response, reply);
  }

  /** Sends a reply as soon as there is one. */
  static Publisher<Void> send(HttpServerResponse response, CompletableFuture<Reply> reply) {
    return Mono.fromFuture(reply)
        .onErrorResume(failure -> Mono.just(Reply.error(500, String.valueOf(failure))))
        .flatMap(ready -> send(response, ready));
  }

  /** Sends a reply. */
  static Mono<Void> send(HttpServerResponse response, Reply reply) {
    return switch (reply) {
      case Reply.Reset reset -> Mono.fromRunnable(() -> response.withConnection(c -> c.dispose()));
      case Reply.Content content when content.body().isEmpty() ->
          response.status(content.status()).send();
      case Reply.Content content ->
          response
              .status(content.status())
              .header("Content-Type", content.contentType())
              .sendString(Mono.just(content.body()))
              .then();
    };
  }

  private static void append(ByteArrayOutputStream whole, byte[] part) {
    if (whole.size() + part.length > MAXIMUM_BODY_BYTES) {
      throw new BodyTooLarge();
    }
    whole.writeBytes(part);
  }

  /** A body is above the bound. */
  private static final class BodyTooLarge extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }
}

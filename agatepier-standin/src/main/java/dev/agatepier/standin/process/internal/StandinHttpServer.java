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

  /**
   * Reads the whole request body and passes it to a handler; a body above the maximum size is
   * rejected with status 413.
   */
  static Publisher<Void> withBody(
      HttpServerRequest request,
      HttpServerResponse response,
      Function<byte[], Publisher<Void>> handler) {
    return request
        .receive()
        .asByteArray()
        .collect(ByteArrayOutputStream::new, StandinHttpServer::append)
        .map(ByteArrayOutputStream::toByteArray)
        .map(Optional::of)
        .onErrorResume(BodyTooLargeException.class, tooLarge -> Mono.just(Optional.empty()))
        .flatMap(
            body ->
                body.isEmpty()
                    ? send(response, Reply.error(413, "above " + MAXIMUM_BODY_BYTES + " bytes"))
                    : Mono.from(handler.apply(body.get())));
  }

  /**
   * Sends a request to a task, and the task's reply to the caller. The request returns whether the
   * task's mailbox accepted it.
   */
  static Publisher<Void> ask(
      HttpServerResponse response, Predicate<CompletableFuture<Reply>> taskRequest) {
    CompletableFuture<Reply> reply = new CompletableFuture<>();
    try {
      if (!taskRequest.test(reply)) {
        reply.complete(Reply.error(503, "the mailbox is full"));
      }
    } catch (IllegalArgumentException invalid) {
      reply.complete(Reply.error(400, invalid.getMessage()));
    }
    return send(response, reply);
  }

  /** Sends a reply once it is complete; a failure is sent as status 500. */
  static Publisher<Void> send(HttpServerResponse response, CompletableFuture<Reply> reply) {
    return Mono.fromFuture(reply)
        .onErrorResume(failure -> Mono.just(Reply.error(500, String.valueOf(failure))))
        .flatMap(ready -> send(response, ready));
  }

  /** Sends a reply; {@link Reply.Reset} closes the connection instead. */
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

  private static void append(ByteArrayOutputStream body, byte[] chunk) {
    if (body.size() + chunk.length > MAXIMUM_BODY_BYTES) {
      throw new BodyTooLargeException();
    }
    body.writeBytes(chunk);
  }

  /** Thrown when a request body exceeds the maximum size. */
  private static final class BodyTooLargeException extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }
}

package dev.agatepier.wire.request.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.request.ErrorBody;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * One caller's request from its acceptance to the end of the response. One thread carries out the
 * effects of the process and queues the content here; the socket writes it in order.
 */
public final class CallerExchange {

  /** Header that carries the request identifier. */
  public static final String REQUEST_HEADER = "Agatepier-Request";

  /** Header or trailer that states whether the request ran, as far as known. */
  public static final String OUTCOME_HEADER = "Agatepier-Outcome";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Maximum number of response chunks that are queued for the caller. */
  private static final int MAXIMUM_QUEUED_CHUNKS = 65_536;

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final RequestId request;
  private final HttpServerResponse response;
  private final boolean headOnly;
  private final long maximumQueuedBytes;
  private final OrderedDelivery<RouterEvent> events;
  private final Sinks.One<Mono<Void>> responseResult = Sinks.one();
  private final Sinks.Many<Bytes> body =
      Sinks.many().unicast().onBackpressureBuffer(new LinkedBlockingQueue<>(MAXIMUM_QUEUED_CHUNKS));
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private ResponseHead bodilessHead;
  private volatile boolean responseStarted;

  /**
   * Creates the exchange of a request.
   *
   * @param request identifier of the request
   * @param received the received request
   * @param response the response that is written
   * @param maximumQueuedBytes maximum bytes of the response that are queued for the caller
   * @param events receives the bytes that the caller consumes and the caller's disconnect
   */
  public CallerExchange(
      RequestId request,
      HttpServerRequest received,
      HttpServerResponse response,
      long maximumQueuedBytes,
      OrderedDelivery<RouterEvent> events) {
    this.request = request;
    this.response = response;
    this.headOnly = received.method().equals(HttpMethod.HEAD);
    this.maximumQueuedBytes = maximumQueuedBytes;
    this.events = events;
    response.header(REQUEST_HEADER, request.toString());
  }

  /** Completes when the response is written; closes the connection if it cannot be completed. */
  public Mono<Void> responseWritten() {
    return responseResult
        .asMono()
        .flatMap(written -> written)
        .doOnError(failure -> abortResponse())
        .doFinally(signal -> reportDisconnected());
  }

  /** Starts the response with its status and headers. */
  public void startResponse(ResponseHead head) {
    if (headOnly || head.status() == NO_CONTENT || head.status() == NOT_MODIFIED) {
      bodilessHead = head;
      return;
    }
    responseStarted = true;
    responseResult.tryEmitValue(Mono.defer(() -> streamResponse(head)));
  }

  /** Queues content of the response; aborts the response if the queue exceeds its bounds. */
  public void writeContent(Bytes content) {
    if (bodilessHead != null) {
      events.deliver(new RouterEvent.ResponseConsumed(request, content.size()));
    } else if (queuedBytes.addAndGet(content.size()) > maximumQueuedBytes
        || body.tryEmitNext(content).isFailure()) {
      abortResponse();
    }
  }

  /** Marks the response as complete. */
  public void endResponse() {
    ended.set(true);
    if (bodilessHead == null) {
      body.tryEmitComplete();
    } else {
      ResponseHead head = bodilessHead;
      responseResult.tryEmitValue(Mono.defer(() -> sendBodiless(head)));
    }
  }

  /** Sends an error response, or aborts the response if it has already started. */
  public void failRequest(Outcome outcome, Reason reason, String message, long retryAfterMillis) {
    ended.set(true);
    if (responseStarted) {
      abortResponse();
      return;
    }
    responseResult.tryEmitValue(
        Mono.defer(
            () -> {
              response.header(OUTCOME_HEADER, outcome.code());
              if (retryAfterMillis > 0) {
                long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
                response.header("Retry-After", Long.toString(seconds));
              }
              return sendJson(reason.status(), ErrorBody.of(request, outcome, reason, message));
            }));
  }

  /** Sends a complete JSON response that the fleet generates itself. */
  public void respond(int status, Record content) {
    ended.set(true);
    responseResult.tryEmitValue(
        Mono.defer(
            () -> {
              response.header(OUTCOME_HEADER, Outcome.COMPLETED.code());
              return sendJson(status, content);
            }));
  }

  /** Closes the connection before the last chunk is written. */
  public void abortResponse() {
    response.withConnection(connection -> connection.channel().close());
  }

  private Mono<Void> streamResponse(ResponseHead head) {
    sendHead(head);
    response
        .chunkedTransfer(true)
        .header("Trailer", OUTCOME_HEADER)
        .trailerHeaders(trailers -> trailers.set(OUTCOME_HEADER, Outcome.COMPLETED.code()));
    return response
        .sendHeaders()
        .then()
        .thenMany(body.asFlux().concatMap(this::writeChunk, 1))
        .then();
  }

  private void sendHead(ResponseHead head) {
    response.status(head.status());
    head.headers().forEach(header -> response.addHeader(header.name(), header.value()));
  }

  private Mono<Void> sendBodiless(ResponseHead head) {
    sendHead(head);
    return response.header(OUTCOME_HEADER, Outcome.COMPLETED.code()).send();
  }

  /**
   * Completes when the socket has accepted the chunk; Reactor Netty's own send signals it too late.
   */
  private Mono<Void> writeChunk(Bytes content) {
    return Mono.create(
        sink ->
            response.withConnection(
                connection ->
                    connection
                        .channel()
                        .writeAndFlush(
                            new DefaultHttpContent(Unpooled.wrappedBuffer(content.array())))
                        .addListener(written -> onChunkWritten(written, content.size(), sink))));
  }

  private void onChunkWritten(Future<?> written, int bytes, MonoSink<Void> sink) {
    if (written.isSuccess()) {
      reportConsumed(bytes);
      sink.success();
    } else {
      sink.error(written.cause());
    }
  }

  private void reportConsumed(int bytes) {
    queuedBytes.addAndGet(-bytes);
    if (!ended.get()) {
      events.deliver(new RouterEvent.ResponseConsumed(request, bytes));
    }
  }

  private Mono<Void> sendJson(int status, Record content) {
    try {
      byte[] json = MAPPER.writeValueAsBytes(content);
      response
          .status(status)
          .header("Content-Type", "application/json")
          .header("Content-Length", Integer.toString(json.length));
      return headOnly
          ? response.send()
          : response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(json))).then();
    } catch (JsonProcessingException failure) {
      return Mono.error(failure);
    }
  }

  private void reportDisconnected() {
    if (ended.compareAndSet(false, true)) {
      events.deliver(new RouterEvent.CallerDisconnected(request));
    }
  }
}

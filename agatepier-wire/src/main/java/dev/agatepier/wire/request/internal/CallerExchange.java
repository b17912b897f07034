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
 * One caller's request from the acceptance to the end of the answer. The process's effects come
 * from one thread; the socket takes what they leave here in order.
 */
public final class CallerExchange {

  /** Header that names the request. */
  public static final String REQUEST = "Agatepier-Request";

  /** Header or trailer that says what is known about whether the request ran. */
  public static final String OUTCOME = "Agatepier-Outcome";

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Most parts of an answer that may wait for the caller. */
  private static final int MAXIMUM_PARTS = 65_536;

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final RequestId request;
  private final HttpServerResponse response;
  private final boolean headOnly;
  private final long maximumQueuedBytes;
  private final OrderedDelivery<RouterEvent> events;
  private final Sinks.One<Mono<Void>> answer = Sinks.one();
  private final Sinks.Many<Bytes> body =
      Sinks.many().unicast().onBackpressureBuffer(new LinkedBlockingQueue<>(MAXIMUM_PARTS));
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private ResponseHead bodiless;
  private volatile boolean begun;

  /**
   * Creates the exchange of a request.
   *
   * @param request name of the request
   * @param received the request
   * @param response where the answer goes
   * @param maximumQueuedBytes most bytes of answer that may wait for the caller
   * @param events told of what the caller takes, and when it is gone
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
    response.header(REQUEST, request.toString());
  }

  /** Completes when the answer is written; an answer that cannot become whole ends the socket. */
  public Mono<Void> responseWritten() {
    return answer
        .asMono()
        .flatMap(written -> written)
        .doOnError(failure -> abortResponse())
        .doFinally(signal -> reportGone());
  }

  /** Begins the answer. */
  public void startResponse(ResponseHead head) {
    if (headOnly || head.status() == NO_CONTENT || head.status() == NOT_MODIFIED) {
      bodiless = head;
      return;
    }
    begun = true;
    answer.tryEmitValue(Mono.defer(() -> stream(head)));
  }

  /** Continues the answer. */
  public void writeContent(Bytes content) {
    if (bodiless != null) {
      events.deliver(new RouterEvent.ResponseConsumed(request, content.size()));
    } else if (queuedBytes.addAndGet(content.size()) > maximumQueuedBytes
        || body.tryEmitNext(content).isFailure()) {
      abortResponse();
    }
  }

  /** Ends the answer as whole. */
  public void endResponse() {
    ended.set(true);
    if (bodiless == null) {
      body.tryEmitComplete();
    } else {
      ResponseHead head = bodiless;
      answer.tryEmitValue(Mono.defer(() -> sendBodiless(head)));
    }
  }

  /** Ends the request with an error body, or with a broken transfer if the answer has begun. */
  public void failRequest(Outcome outcome, Reason reason, String message, long retryAfterMillis) {
    ended.set(true);
    if (begun) {
      abortResponse();
      return;
    }
    answer.tryEmitValue(
        Mono.defer(
            () -> {
              response.header(OUTCOME, outcome.code());
              if (retryAfterMillis > 0) {
                long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
                response.header("Retry-After", Long.toString(seconds));
              }
              return json(reason.status(), ErrorBody.of(request, outcome, reason, message));
            }));
  }

  /** Ends the request with a record of the fleet's own. */
  public void respond(int status, Record content) {
    ended.set(true);
    answer.tryEmitValue(
        Mono.defer(
            () -> {
              response.header(OUTCOME, Outcome.COMPLETED.code());
              return json(status, content);
            }));
  }

  /** Closes the socket before the last chunk is written. */
  public void abortResponse() {
    response.withConnection(connection -> connection.channel().close());
  }

  private Mono<Void> stream(ResponseHead head) {
    sendHead(head);
    response
        .chunkedTransfer(true)
        .header("Trailer", OUTCOME)
        .trailerHeaders(trailers -> trailers.set(OUTCOME, Outcome.COMPLETED.code()));
    return response.sendHeaders().then().thenMany(body.asFlux().concatMap(this::write, 1)).then();
  }

  private void sendHead(ResponseHead head) {
    response.status(head.status());
    head.headers().forEach(header -> response.addHeader(header.name(), header.value()));
  }

  private Mono<Void> sendBodiless(ResponseHead head) {
    sendHead(head);
    return response.header(OUTCOME, Outcome.COMPLETED.code()).send();
  }

  /** Completes when the socket has taken the part; the library's own way tells this too late. */
  private Mono<Void> write(Bytes content) {
    return Mono.create(
        sink ->
            response.withConnection(
                connection ->
                    connection
                        .channel()
                        .writeAndFlush(
                            new DefaultHttpContent(Unpooled.wrappedBuffer(content.array())))
                        .addListener(written -> report(written, content.size(), sink))));
  }

  private void report(Future<?> written, int bytes, MonoSink<Void> sink) {
    if (written.isSuccess()) {
      took(bytes);
      sink.success();
    } else {
      sink.error(written.cause());
    }
  }

  private void took(int bytes) {
    queuedBytes.addAndGet(-bytes);
    if (!ended.get()) {
      events.deliver(new RouterEvent.ResponseConsumed(request, bytes));
    }
  }

  private Mono<Void> json(int status, Record content) {
    try {
      byte[] encoded = MAPPER.writeValueAsBytes(content);
      response
          .status(status)
          .header("Content-Type", "application/json")
          .header("Content-Length", Integer.toString(encoded.length));
      return headOnly
          ? response.send()
          : response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(encoded))).then();
    } catch (JsonProcessingException failure) {
      return Mono.error(failure);
    }
  }

  private void reportGone() {
    if (ended.compareAndSet(false, true)) {
      events.deliver(new RouterEvent.CallerDisconnected(request));
    }
  }
}

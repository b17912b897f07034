package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.SidecarEffect.StartUpstream;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.process.LogEvent;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * The task of one attempt, from sending the request to the upstream until the response ends. It
 * owns the connection and reads only as much of the response as its flow-control credit allows.
 */
public final class UpstreamExchange {

  private static final Logger LOGGER = LogManager.getLogger(UpstreamExchange.class);

  private static final String REQUEST_HEADER = "agatepier-request";
  private static final String ATTEMPT_HEADER = "agatepier-attempt";

  /** Field that is not forwarded, as the tokens of a compressed response cannot be counted. */
  private static final String ACCEPT_ENCODING = "accept-encoding";

  private final StartUpstream start;
  private final OrderedDelivery<SidecarEvent> events;
  private final BiConsumer<AttemptId, Boolean> endListener;
  private final TokenCounter tokens = new TokenCounter();
  private final ResponseSubscriber responseSubscriber = new ResponseSubscriber();
  private final MailboxTask<ExchangeEvent> task;

  /**
   * Whether bytes of the request may have been sent. Set once, either when the socket starts to
   * send or when the attempt ends, whichever is first.
   */
  private final AtomicReference<SendState> sendState = new AtomicReference<>(SendState.NOT_SENT);

  private Disposable deadline = Disposables.disposed();
  private byte[] undelivered = Bytes.EMPTY.array();
  private long credit;
  private boolean countsTokens;
  private boolean subscribed;
  private boolean readPending;
  private boolean responseStarted;
  private boolean responseEnded;
  private boolean finished;

  /** Whether bytes of the request may have been sent. */
  private enum SendState {
    /** No byte has been sent yet. */
    NOT_SENT,
    /** Some bytes may have been sent. */
    POSSIBLY_SENT,
    /** No byte has been sent, and none will be. */
    NEVER_SENT
  }

  /** Events that the task handles. */
  private sealed interface ExchangeEvent {}

  /** The attempt must be started. */
  private record StartRequested(HttpClient client) implements ExchangeEvent {}

  /** The content of the response can be requested. */
  private record Subscribed() implements ExchangeEvent {}

  /** The head of the response was received. */
  private record ResponseStarted(ResponseHead head, boolean selfDelimited, boolean countsTokens)
      implements ExchangeEvent {}

  /** A chunk of the response's content was received. */
  private record ContentReceived(byte[] bytes) implements ExchangeEvent {}

  /** The response is complete. */
  private record ResponseEnded() implements ExchangeEvent {}

  /** The connection failed. */
  private record ConnectionFailed() implements ExchangeEvent {}

  /** Further bytes of the response may be read. */
  private record CreditAdded(long bytes) implements ExchangeEvent {}

  /** The attempt must end without a complete response. */
  private record EndRequested(Reason reason) implements ExchangeEvent {}

  /**
   * Creates the exchange of an attempt.
   *
   * @param start the attempt and its request
   * @param scheduler runs the task
   * @param events receives the events of the response
   * @param endListener called once at the end, with whether the response was complete
   */
  public UpstreamExchange(
      StartUpstream start,
      Scheduler scheduler,
      OrderedDelivery<SidecarEvent> events,
      BiConsumer<AttemptId, Boolean> endListener) {
    this.start = start;
    this.events = events;
    this.endListener = endListener;
    this.credit = start.windowBytes();
    this.task =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            scheduler.createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /** Sends the request to the upstream. */
  public void start(HttpClient client) {
    task.post(new StartRequested(client));
  }

  /** Allows further bytes of the response to be read. */
  public void addCredit(long bytes) {
    task.post(new CreditAdded(bytes));
  }

  /** Closes the connection to the upstream and reports that the response is not complete. */
  public void withdraw() {
    task.post(new EndRequested(Reason.WITHDRAWN));
  }

  private void handle(ExchangeEvent event) {
    if (finished) {
      return;
    }
    switch (event) {
      case StartRequested(HttpClient client) -> sendRequest(client);
      case Subscribed() -> {
        subscribed = true;
        forwardContent();
      }
      case ResponseStarted started -> onResponseStarted(started);
      case ContentReceived(byte[] bytes) -> {
        readPending = false;
        undelivered = bytes;
        forwardContent();
      }
      case ResponseEnded() -> {
        responseEnded = true;
        forwardContent();
      }
      case ConnectionFailed() ->
          fail(responseStarted ? Reason.ANSWER_INCOMPLETE : Reason.UPSTREAM_FAILED);
      case CreditAdded(long bytes) -> {
        credit += bytes;
        forwardContent();
      }
      case EndRequested(Reason reason) -> fail(reason);
    }
  }

  private void sendRequest(HttpClient client) {
    deadline =
        Mono.delay(Duration.ofMillis(Math.max(1, start.timeLeftMillis())), Schedulers.parallel())
            .subscribe(ignored -> task.post(new EndRequested(Reason.DEADLINE)));
    Flux.defer(() -> responseBody(client)).subscribe(responseSubscriber);
  }

  private Flux<ByteBuf> responseBody(HttpClient client) {
    return client
        .headers(this::addHeaders)
        .doOnRequest((request, connection) -> markSent())
        .request(HttpMethod.valueOf(start.head().method()))
        .uri(start.head().path())
        .send(
            (request, outbound) ->
                start.body().size() == 0
                    ? outbound
                    : outbound.send(
                        Mono.fromSupplier(() -> Unpooled.wrappedBuffer(start.body().array()))))
        .responseConnection(
            (response, connection) -> {
              task.post(toResponseStarted(response));
              return connection.inbound().receive();
            });
  }

  private void addHeaders(HttpHeaders headers) {
    for (Header header : start.head().headers()) {
      if (!header.name().equals(ACCEPT_ENCODING)) {
        headers.add(header.name(), header.value());
      }
    }
    headers.set(REQUEST_HEADER, start.attempt().request().toString());
    headers.set(ATTEMPT_HEADER, Integer.toString(start.attempt().number()));
    if (start.body().size() > 0 || !start.head().method().equals("GET")) {
      headers.set("content-length", Integer.toString(start.body().size()));
    }
  }

  /** Records that bytes may be sent from now on; fails if the attempt has already ended. */
  private void markSent() {
    if (!sendState.compareAndSet(SendState.NOT_SENT, SendState.POSSIBLY_SENT)) {
      throw new IllegalStateException("the attempt was withdrawn before it was sent");
    }
  }

  private ResponseStarted toResponseStarted(HttpClientResponse response) {
    HttpHeaders headers = response.responseHeaders();
    int status = response.status().code();
    return new ResponseStarted(
        new ResponseHead(status, ForwardableHeaders.of(headers)),
        ResponseFraming.isSelfDelimited(start.head().method(), status, headers),
        headers.get("content-type", "").startsWith("text/event-stream"));
  }

  private void onResponseStarted(ResponseStarted started) {
    if (!started.selfDelimited()) {
      fail(Reason.ANSWER_INCOMPLETE);
      return;
    }
    responseStarted = true;
    countsTokens = started.countsTokens();
    events.deliver(new SidecarEvent.UpstreamResponseStarted(start.attempt(), started.head()));
  }

  /**
   * Forwards as much of the received content as there is credit for; requests more only when all of
   * it has been forwarded.
   */
  private void forwardContent() {
    int size = (int) Math.min(undelivered.length, credit);
    if (size > 0) {
      byte[] chunk = Arrays.copyOf(undelivered, size);
      undelivered = Arrays.copyOfRange(undelivered, size, undelivered.length);
      credit -= size;
      int counted = countsTokens ? tokens.count(chunk) : 0;
      events.deliver(
          new SidecarEvent.UpstreamResponseData(start.attempt(), new Bytes(chunk), counted));
    }
    if (undelivered.length == 0 && responseEnded) {
      finish(
          new SidecarEvent.UpstreamResponseCompleted(start.attempt(), tokens.reportedTokens()),
          true);
    } else if (undelivered.length == 0 && credit > 0 && subscribed && !readPending) {
      readPending = true;
      responseSubscriber.request(1);
    }
  }

  private void fail(Reason reason) {
    boolean sent = !sendState.compareAndSet(SendState.NOT_SENT, SendState.NEVER_SENT);
    finish(new SidecarEvent.UpstreamFailed(start.attempt(), sent, reason), false);
    responseSubscriber.cancel();
  }

  private void finish(SidecarEvent event, boolean complete) {
    finished = true;
    deadline.dispose();
    events.deliver(event);
    endListener.accept(start.attempt(), complete);
  }

  /** Posts the signals of the response's content to the task. */
  private final class ResponseSubscriber extends BaseSubscriber<ByteBuf> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      task.post(new Subscribed());
    }

    @Override
    protected void hookOnNext(ByteBuf chunk) {
      task.post(new ContentReceived(ByteBufUtil.getBytes(chunk)));
    }

    @Override
    protected void hookOnComplete() {
      task.post(new ResponseEnded());
    }

    @Override
    protected void hookOnError(Throwable failure) {
      task.post(new ConnectionFailed());
    }
  }
}

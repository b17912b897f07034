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
 * The task of one attempt at the upstream, from the call to the end of the answer. It owns the
 * connection and reads only as much of the answer as it has credit for.
 */
public final class UpstreamExchange {

  private static final Logger LOGGER = LogManager.getLogger(UpstreamExchange.class);

  private static final String REQUEST = "agatepier-request";
  private static final String ATTEMPT = "agatepier-attempt";

  /** Field by which a caller would get an answer whose tokens cannot be counted. */
  private static final String ACCEPT_ENCODING = "accept-encoding";

  private final StartUpstream start;
  private final OrderedDelivery<SidecarEvent> events;
  private final BiConsumer<AttemptId, Boolean> ended;
  private final TokenCounter tokens = new TokenCounter();
  private final ResponseSubscriber content = new ResponseSubscriber();
  private final MailboxTask<ExchangeEvent> task;

  /** Whether bytes may have left; decided once, by whoever comes first: the socket or the end. */
  private final AtomicReference<SendState> departure = new AtomicReference<>(SendState.NOT_SENT);

  private Disposable deadline = Disposables.disposed();
  private byte[] unsent = Bytes.EMPTY.array();
  private long credit;
  private boolean countsTokens;
  private boolean subscribed;
  private boolean requested;
  private boolean begun;
  private boolean complete;
  private boolean done;

  /** What is known of the request's bytes. */
  private enum SendState {
    /** None has left yet. */
    NOT_SENT,
    /** Some may have left. */
    POSSIBLY_SENT,
    /** None has left and none will. */
    NEVER_SENT
  }

  /** One thing to do for the task. */
  private sealed interface ExchangeEvent {}

  /** The attempt is to be made. */
  private record StartRequested(HttpClient client) implements ExchangeEvent {}

  /** Parts of the answer can be asked for. */
  private record Subscribed() implements ExchangeEvent {}

  /** The head of the answer came. */
  private record ResponseStarted(ResponseHead head, boolean endMarked, boolean countsTokens)
      implements ExchangeEvent {}

  /** Part of the answer came. */
  private record ContentReceived(byte[] bytes) implements ExchangeEvent {}

  /** The answer is whole. */
  private record ResponseEnded() implements ExchangeEvent {}

  /** The connection failed. */
  private record ConnectionFailed() implements ExchangeEvent {}

  /** Further bytes of the answer may be read. */
  private record CreditAdded(long bytes) implements ExchangeEvent {}

  /** The attempt is to end without an answer. */
  private record EndRequested(Reason reason) implements ExchangeEvent {}

  /**
   * Creates the exchange of an attempt.
   *
   * @param start the attempt
   * @param scheduler runs the task
   * @param events told of the answer
   * @param ended told once of the end, and whether the answer was whole
   */
  public UpstreamExchange(
      StartUpstream start,
      Scheduler scheduler,
      OrderedDelivery<SidecarEvent> events,
      BiConsumer<AttemptId, Boolean> ended) {
    this.start = start;
    this.events = events;
    this.ended = ended;
    this.credit = start.windowBytes();
    this.task =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            scheduler.createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /** Calls the upstream. */
  public void start(HttpClient client) {
    task.post(new StartRequested(client));
  }

  /** Allows further bytes of the answer to be read. */
  public void addCredit(long bytes) {
    task.post(new CreditAdded(bytes));
  }

  /** Closes the connection to the upstream and tells that the answer will not become whole. */
  public void withdraw() {
    task.post(new EndRequested(Reason.WITHDRAWN));
  }

  private void handle(ExchangeEvent step) {
    if (done) {
      return;
    }
    switch (step) {
      case StartRequested(HttpClient client) -> call(client);
      case Subscribed() -> {
        subscribed = true;
        proceed();
      }
      case ResponseStarted answered -> answer(answered);
      case ContentReceived(byte[] bytes) -> {
        requested = false;
        unsent = bytes;
        proceed();
      }
      case ResponseEnded() -> {
        complete = true;
        proceed();
      }
      case ConnectionFailed() -> fail(begun ? Reason.ANSWER_INCOMPLETE : Reason.UPSTREAM_FAILED);
      case CreditAdded(long bytes) -> {
        credit += bytes;
        proceed();
      }
      case EndRequested(Reason reason) -> fail(reason);
    }
  }

  private void call(HttpClient client) {
    deadline =
        Mono.delay(Duration.ofMillis(Math.max(1, start.timeLeftMillis())), Schedulers.parallel())
            .subscribe(ignored -> task.post(new EndRequested(Reason.DEADLINE)));
    Flux.defer(() -> receive(client)).subscribe(content);
  }

  private Flux<ByteBuf> receive(HttpClient client) {
    return client
        .headers(this::addHeaders)
        .doOnRequest((request, connection) -> leave())
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
              task.post(answered(response));
              return connection.inbound().receive();
            });
  }

  private void addHeaders(HttpHeaders headers) {
    for (Header header : start.head().headers()) {
      if (!header.name().equals(ACCEPT_ENCODING)) {
        headers.add(header.name(), header.value());
      }
    }
    headers.set(REQUEST, start.attempt().request().toString());
    headers.set(ATTEMPT, Integer.toString(start.attempt().number()));
    if (start.body().size() > 0 || !start.head().method().equals("GET")) {
      headers.set("content-length", Integer.toString(start.body().size()));
    }
  }

  /** From here on bytes may leave; an attempt that has ended already must not send any. */
  private void leave() {
    if (!departure.compareAndSet(SendState.NOT_SENT, SendState.POSSIBLY_SENT)) {
      throw new IllegalStateException("the attempt was withdrawn before it was sent");
    }
  }

  private ResponseStarted answered(HttpClientResponse response) {
    HttpHeaders headers = response.responseHeaders();
    int status = response.status().code();
    return new ResponseStarted(
        new ResponseHead(status, ForwardableHeaders.of(headers)),
        ResponseFraming.isSelfDelimited(start.head().method(), status, headers),
        headers.get("content-type", "").startsWith("text/event-stream"));
  }

  private void answer(ResponseStarted answered) {
    if (!answered.endMarked()) {
      fail(Reason.ANSWER_INCOMPLETE);
      return;
    }
    begun = true;
    countsTokens = answered.countsTokens();
    events.deliver(new SidecarEvent.UpstreamResponseStarted(start.attempt(), answered.head()));
  }

  /** Hands on what there is credit for; asks for more only when nothing is left over. */
  private void proceed() {
    int size = (int) Math.min(unsent.length, credit);
    if (size > 0) {
      byte[] part = Arrays.copyOf(unsent, size);
      unsent = Arrays.copyOfRange(unsent, size, unsent.length);
      credit -= size;
      int counted = countsTokens ? tokens.count(part) : 0;
      events.deliver(
          new SidecarEvent.UpstreamResponseData(start.attempt(), new Bytes(part), counted));
    }
    if (unsent.length == 0 && complete) {
      finish(
          new SidecarEvent.UpstreamResponseCompleted(start.attempt(), tokens.reportedTokens()),
          true);
    } else if (unsent.length == 0 && credit > 0 && subscribed && !requested) {
      requested = true;
      content.request(1);
    }
  }

  private void fail(Reason reason) {
    boolean sent = !departure.compareAndSet(SendState.NOT_SENT, SendState.NEVER_SENT);
    finish(new SidecarEvent.UpstreamFailed(start.attempt(), sent, reason), false);
    content.cancel();
  }

  private void finish(SidecarEvent event, boolean whole) {
    done = true;
    deadline.dispose();
    events.deliver(event);
    ended.accept(start.attempt(), whole);
  }

  /** Leaves for the task what comes from the socket. */
  private final class ResponseSubscriber extends BaseSubscriber<ByteBuf> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      task.post(new Subscribed());
    }

    @Override
    protected void hookOnNext(ByteBuf part) {
      task.post(new ContentReceived(ByteBufUtil.getBytes(part)));
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

package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.SidecarEffect.StartUpstream;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.request.AnswerHead;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Arrays;
import java.util.function.BiConsumer;
import org.reactivestreams.Subscription;
import reactor.core.Disposable;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * One attempt at the upstream, from the call to the end of the answer. It reads only as much as it
 * has credit for. Its lock orders the socket, the credit and the deadline.
 */
public final class UpstreamExchange {

  private static final String REQUEST = "agatepier-request";
  private static final String ATTEMPT = "agatepier-attempt";

  /** Field by which a caller would get an answer whose tokens cannot be counted. */
  private static final String ACCEPT_ENCODING = "accept-encoding";

  private final StartUpstream start;
  private final OrderedDelivery<SidecarEvent> events;
  private final BiConsumer<AttemptId, Boolean> ended;
  private final TokenCounter tokens = new TokenCounter();
  private final Content content = new Content();
  private Disposable deadline;
  private byte[] unsent = Bytes.EMPTY.array();
  private long credit;
  private boolean countsTokens;
  private boolean requested;
  private boolean sent;
  private boolean begun;
  private boolean complete;
  private boolean done;

  /**
   * Creates the exchange of an attempt.
   *
   * @param start the attempt
   * @param events told of the answer
   * @param ended told once of the end, and whether the answer was whole
   */
  public UpstreamExchange(
      StartUpstream start,
      OrderedDelivery<SidecarEvent> events,
      BiConsumer<AttemptId, Boolean> ended) {
    this.start = start;
    this.events = events;
    this.ended = ended;
    this.credit = start.windowBytes();
  }

  /** Calls the upstream. */
  public synchronized void begin(HttpClient client) {
    deadline =
        Mono.delay(Duration.ofMillis(Math.max(1, start.timeLeftMillis())), Schedulers.parallel())
            .subscribe(ignored -> fail(Reason.DEADLINE));
    Flux.defer(() -> call(client)).subscribe(content);
  }

  /** Allows further bytes of the answer to be read. */
  public synchronized void credit(long bytes) {
    credit += bytes;
    proceed();
  }

  /** Closes the connection to the upstream and tells that the answer will not become whole. */
  public void withdraw() {
    fail(Reason.WITHDRAWN);
  }

  private Flux<ByteBuf> call(HttpClient client) {
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
              answer(response);
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
  private synchronized void leave() {
    if (done) {
      throw new IllegalStateException("the attempt was withdrawn before it was sent");
    }
    sent = true;
  }

  private synchronized void answer(HttpClientResponse response) {
    if (done) {
      return;
    }
    HttpHeaders headers = response.responseHeaders();
    if (!AnswerFraming.endIsMarked(start.head().method(), response.status().code(), headers)) {
      fail(Reason.ANSWER_INCOMPLETE);
      return;
    }
    begun = true;
    countsTokens = headers.get("content-type", "").startsWith("text/event-stream");
    AnswerHead head = new AnswerHead(response.status().code(), HopHeaders.endToEnd(headers));
    events.deliver(new SidecarEvent.UpstreamBegan(start.attempt(), head));
  }

  private synchronized void take(byte[] part) {
    requested = false;
    unsent = part;
    proceed();
  }

  /** Hands on what there is credit for; asks for more only when nothing is left over. */
  private synchronized void proceed() {
    if (done) {
      return;
    }
    int size = (int) Math.min(unsent.length, credit);
    if (size > 0) {
      byte[] part = Arrays.copyOf(unsent, size);
      unsent = Arrays.copyOfRange(unsent, size, unsent.length);
      credit -= size;
      int counted = countsTokens ? tokens.count(part) : 0;
      events.deliver(new SidecarEvent.UpstreamSent(start.attempt(), new Bytes(part), counted));
    }
    if (unsent.length == 0 && complete) {
      finish(new SidecarEvent.UpstreamEnded(start.attempt(), tokens.reportedTokens()), true);
    } else if (unsent.length == 0 && credit > 0 && !requested) {
      requested = true;
      content.request(1);
    }
  }

  private synchronized void complete() {
    complete = true;
    proceed();
  }

  private synchronized void fail(Reason reason) {
    if (!done) {
      finish(new SidecarEvent.UpstreamBroke(start.attempt(), sent, reason), false);
      content.cancel();
    }
  }

  private void finish(SidecarEvent event, boolean whole) {
    done = true;
    deadline.dispose();
    events.deliver(event);
    ended.accept(start.attempt(), whole);
  }

  /** Reads the answer's body part by part. */
  private final class Content extends BaseSubscriber<ByteBuf> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      proceed();
    }

    @Override
    protected void hookOnNext(ByteBuf part) {
      take(ByteBufUtil.getBytes(part));
    }

    @Override
    protected void hookOnComplete() {
      complete();
    }

    @Override
    protected void hookOnError(Throwable failure) {
      fail(begun ? Reason.ANSWER_INCOMPLETE : Reason.UPSTREAM_FAILED);
    }
  }
}

package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.internal.CallerMetrics;
import dev.agatepier.wire.process.internal.HttpListener;
import dev.agatepier.wire.process.internal.RequestLog;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.ReasonText;
import dev.agatepier.wire.request.TicketBody;
import dev.agatepier.wire.request.TicketCodec;
import dev.agatepier.wire.request.internal.BodyBudget;
import dev.agatepier.wire.request.internal.BodyCollector;
import dev.agatepier.wire.request.internal.CallParser;
import dev.agatepier.wire.request.internal.CallerExchange;
import dev.agatepier.wire.request.internal.OrderedDelivery;
import dev.agatepier.wire.request.internal.ParsedCall;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The callers' side of a router: takes their requests in and carries their answers out. */
public final class CallerListener implements CallerFrontEnd {

  /** Time after its deadline that a request may take to end, in nanoseconds. */
  private static final long GRACE_NANOS = 5_000_000_000L;

  /** Longest time spent on reading a body that nobody wants. */
  private static final Duration DISCARD = Duration.ofSeconds(10);

  /** When a caller may come back to a router that took no further event, in milliseconds. */
  private static final long OVERLOADED_RETRY_MILLIS = 1_000;

  /** Status of the answer that hands out a ticket. */
  private static final int CREATED = 201;

  private final CallerSettings settings;
  private final PeerIdentity self;
  private final MonotonicClock clock;
  private final Mailbox<? super RouterEvent> mailbox;
  private final TicketCodec tickets;
  private final CallParser parser;
  private final BodyBudget budget;
  private final CallerMetrics metrics;
  private final HttpListener listener;
  private final AtomicLong numbers = new AtomicLong();
  private final Map<RequestId, CallerExchange> exchanges = new ConcurrentHashMap<>();

  /**
   * Creates the listener; nothing is opened yet.
   *
   * @param settings settings of the callers' side
   * @param self identity of this router, which names its requests
   * @param secret the fleet's shared secret, which signs tickets
   * @param tables the table in force
   * @param mailbox mailbox of the router's decision
   * @param clock the process's monotonic clock
   * @param metrics registry of the process's metrics
   */
  public CallerListener(
      CallerSettings settings,
      PeerIdentity self,
      Bytes secret,
      Supplier<Table> tables,
      Mailbox<? super RouterEvent> mailbox,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.settings = settings;
    this.self = self;
    this.clock = clock;
    this.mailbox = mailbox;
    this.tickets = new TicketCodec(secret);
    this.parser = new CallParser(tables, tickets, clock);
    this.budget = new BodyBudget(settings.maximumHeldBytes(), settings.maximumBodyBytes());
    this.metrics = new CallerMetrics(metrics);
    this.listener =
        new HttpListener(
            this::configure,
            this::handle,
            settings.maximumConnections(),
            this.metrics::recordConnectionRejected);
  }

  @Override
  public CompletableFuture<Void> start() {
    return listener.start();
  }

  /** Returns the port that is listened on, once started. */
  public int port() {
    return listener.port();
  }

  @Override
  public void closeAfterResponses() {
    listener.closeAfterResponses();
  }

  @Override
  public List<String> inFlight() {
    return exchanges.keySet().stream().map(RequestId::toString).sorted().toList();
  }

  /** Stops accepting and completes when every request under way has ended. */
  @Override
  public CompletableFuture<Void> stop() {
    return listener.stop();
  }

  @Override
  public void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.BeginResponse begin -> {
        CallerExchange exchange = exchanges.get(begin.request());
        if (exchange != null) {
          exchange.startResponse(begin.head());
        }
      }
      case RouterEffect.ContinueResponse next -> {
        CallerExchange exchange = exchanges.get(next.request());
        if (exchange != null) {
          exchange.writeContent(next.content());
        }
      }
      case RouterEffect.EndResponse end -> end(end);
      case RouterEffect.FailRequest failed -> fail(failed);
      case RouterEffect.IssueTicket issued -> issue(issued);
      case RouterEffect.Send _,
          RouterEffect.RunAttempt _,
          RouterEffect.ReadAttempt _,
          RouterEffect.CancelAttempt _,
          RouterEffect.Drained _ -> {}
    }
  }

  private void end(RouterEffect.EndResponse end) {
    RequestLog.logCompleted(end.request(), end.facts());
    CallerExchange exchange = exchanges.remove(end.request());
    if (exchange != null) {
      exchange.endResponse();
    }
  }

  private void fail(RouterEffect.FailRequest failed) {
    RequestLog.logFailed(failed.request(), failed.outcome(), failed.reason(), failed.facts());
    CallerExchange exchange = exchanges.remove(failed.request());
    if (exchange != null) {
      exchange.failRequest(
          failed.outcome(),
          failed.reason(),
          ReasonText.of(failed.reason()),
          failed.retryAfterMillis());
    }
  }

  private void issue(RouterEffect.IssueTicket issued) {
    RequestLog.logTicketIssued(issued.request(), issued.ticket());
    CallerExchange exchange = exchanges.remove(issued.request());
    if (exchange != null) {
      exchange.respond(
          CREATED, new TicketBody(tickets.encode(issued.ticket()), settings.ticketMillis()));
    }
  }

  private HttpServer configure(HttpServer server) {
    return server
        .host(settings.address())
        .port(settings.port())
        .idleTimeout(Duration.ofMillis(settings.idleMillis()))
        .httpRequestDecoder(spec -> spec.maxHeaderSize(settings.maximumHeaderBytes()));
  }

  private Mono<Void> handle(HttpServerRequest received, HttpServerResponse response) {
    RequestId request =
        new RequestId(self.instance(), self.incarnation(), numbers.incrementAndGet());
    CallerExchange exchange =
        new CallerExchange(
            request,
            received,
            response,
            2 * settings.windowBytes(),
            new OrderedDelivery<>(mailbox, Schedulers.parallel()));
    BodyCollector body = new BodyCollector(budget, settings.maximumBodyBytes());
    return Mono.defer(() -> admit(request, received, exchange, body))
        .onErrorResume(
            CallRejectedException.class, refusal -> refuse(request, response, exchange, refusal))
        .doFinally(
            signal -> {
              exchanges.remove(request, exchange);
              body.release();
            });
  }

  private Mono<Void> admit(
      RequestId request, HttpServerRequest received, CallerExchange exchange, BodyCollector body) {
    requireLength(received);
    ParsedCall call;
    try {
      call = parser.parse(received);
    } catch (CallRejectedException refusal) {
      return body.discard(received.receive()).timeout(DISCARD).then(Mono.error(refusal));
    }
    Duration left = Duration.ofNanos(call.deadlineNanos() - clock.nanoTime());
    return body.collect(call.workspace(), received.receive())
        .timeout(left)
        .onErrorMap(
            TimeoutException.class,
            late -> new CallRejectedException(Reason.DEADLINE, "the body did not come in time"))
        .flatMap(content -> submit(request, exchange, call, content))
        .timeout(left.plusNanos(GRACE_NANOS))
        .doOnError(TimeoutException.class, late -> exchange.abortResponse());
  }

  private void requireLength(HttpServerRequest received) {
    String length = received.requestHeaders().get("content-length");
    if (length != null && Long.parseLong(length) > settings.maximumBodyBytes()) {
      throw new CallRejectedException(
          Reason.BODY_TOO_LARGE, "the body exceeds " + settings.maximumBodyBytes() + " bytes");
    }
  }

  private Mono<Void> submit(
      RequestId request, CallerExchange exchange, ParsedCall call, Bytes content) {
    exchanges.put(request, exchange);
    if (!mailbox.offer(call.toEvent(request, content))) {
      exchanges.remove(request);
      throw new CallRejectedException(Reason.OVERLOADED, ReasonText.of(Reason.OVERLOADED));
    }
    return exchange.responseWritten();
  }

  private Mono<Void> refuse(
      RequestId request,
      HttpServerResponse response,
      CallerExchange exchange,
      CallRejectedException refusal) {
    Reason reason = refusal.reason();
    RequestLog.logRejected(request, reason);
    metrics.recordRejected(reason);
    if (reason == Reason.BODY_TOO_LARGE || reason == Reason.DEADLINE) {
      response.keepAlive(false);
    }
    long retryMillis =
        reason == Reason.OVERLOADED || reason == Reason.NOT_READY ? OVERLOADED_RETRY_MILLIS : 0;
    exchange.failRequest(Outcome.NOT_RUN, reason, refusal.getMessage(), retryMillis);
    return exchange.responseWritten();
  }
}

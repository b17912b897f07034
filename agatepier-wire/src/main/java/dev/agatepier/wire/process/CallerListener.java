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

/** HTTP front end of a router: accepts requests of callers and writes their responses. */
public final class CallerListener implements CallerFrontEnd {

  /** Time that a request has to end after its deadline, in nanoseconds. */
  private static final long GRACE_NANOS = 5_000_000_000L;

  /** Maximum time for reading and discarding the body of a rejected request. */
  private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(10);

  /** Retry-After of requests rejected because the mailbox is full, in milliseconds. */
  private static final long OVERLOADED_RETRY_AFTER_MILLIS = 1_000;

  /** Status of a response that carries a ticket. */
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
  private final AtomicLong requestNumbers = new AtomicLong();
  private final Map<RequestId, CallerExchange> exchanges = new ConcurrentHashMap<>();

  /**
   * Creates the listener without opening a socket.
   *
   * @param settings address, bounds and timeouts
   * @param self identity of this router, part of its request ids
   * @param secret shared secret of the fleet, which signs tickets
   * @param activeTable returns the active table
   * @param mailbox mailbox of the router decision
   * @param clock monotonic clock of the process
   * @param metrics metric registry of the process
   */
  public CallerListener(
      CallerSettings settings,
      PeerIdentity self,
      Bytes secret,
      Supplier<Table> activeTable,
      Mailbox<? super RouterEvent> mailbox,
      MonotonicClock clock,
      MetricRegistry metrics) {
    this.settings = settings;
    this.self = self;
    this.clock = clock;
    this.mailbox = mailbox;
    this.tickets = new TicketCodec(secret);
    this.parser = new CallParser(activeTable, tickets, clock);
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

  /** Returns the port that the started listener is bound to. */
  public int port() {
    return listener.port();
  }

  @Override
  public void closeAfterResponses() {
    listener.closeAfterResponses();
  }

  /** Returns ready: connections beyond the bound are closed. */
  @Override
  public Readiness readiness() {
    return Readiness.READY;
  }

  @Override
  public List<String> inFlight() {
    return exchanges.keySet().stream().map(RequestId::toString).sorted().toList();
  }

  /** Stops accepting connections; completes when every request in flight has ended. */
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
      case RouterEffect.EndResponse end -> endResponse(end);
      case RouterEffect.FailRequest fail -> failRequest(fail);
      case RouterEffect.IssueTicket issue -> issueTicket(issue);
      case RouterEffect.Send _,
          RouterEffect.RunAttempt _,
          RouterEffect.ReadAttempt _,
          RouterEffect.CancelAttempt _,
          RouterEffect.QuarantineChanged _,
          RouterEffect.QuarantineTrialStarted _,
          RouterEffect.ResumptionDecided _,
          RouterEffect.StreamContinued _,
          RouterEffect.SendToOriginCache _,
          RouterEffect.ReadUpstreams _,
          RouterEffect.AllowedRegionsChanged _,
          RouterEffect.CancelUnsentAttempt _,
          RouterEffect.Drained _ -> {}
    }
  }

  private void endResponse(RouterEffect.EndResponse end) {
    RequestLog.logCompleted(end.request(), end.metadata());
    CallerExchange exchange = exchanges.remove(end.request());
    if (exchange != null) {
      exchange.endResponse();
    }
  }

  private void failRequest(RouterEffect.FailRequest fail) {
    RequestLog.logFailed(fail.request(), fail.outcome(), fail.reason(), fail.metadata());
    CallerExchange exchange = exchanges.remove(fail.request());
    if (exchange != null) {
      exchange.failRequest(
          fail.outcome(), fail.reason(), ReasonText.of(fail.reason()), fail.retryAfterMillis());
    }
  }

  private void issueTicket(RouterEffect.IssueTicket issue) {
    RequestLog.logTicketIssued(issue.request(), issue.ticket());
    CallerExchange exchange = exchanges.remove(issue.request());
    if (exchange != null) {
      exchange.respond(
          CREATED, new TicketBody(tickets.encode(issue.ticket()), settings.ticketMillis()));
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
        new RequestId(self.instance(), self.incarnation(), requestNumbers.incrementAndGet());
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
            CallRejectedException.class,
            rejection -> reject(request, response, exchange, rejection))
        .doFinally(
            signal -> {
              exchanges.remove(request, exchange);
              body.release();
            });
  }

  private Mono<Void> admit(
      RequestId request, HttpServerRequest received, CallerExchange exchange, BodyCollector body) {
    checkContentLength(received);
    ParsedCall call;
    try {
      call = parser.parse(received);
    } catch (CallRejectedException rejection) {
      return body.discard(received.receive()).timeout(DISCARD_TIMEOUT).then(Mono.error(rejection));
    }
    Duration timeLeft = Duration.ofNanos(call.deadlineNanos() - clock.nanoTime());
    return body.collect(call.workspace(), received.receive())
        .timeout(timeLeft)
        .onErrorMap(
            TimeoutException.class,
            timeout -> new CallRejectedException(Reason.DEADLINE, "the body did not come in time"))
        .flatMap(content -> submit(request, exchange, call, content))
        .timeout(timeLeft.plusNanos(GRACE_NANOS))
        .doOnError(TimeoutException.class, timeout -> exchange.abortResponse());
  }

  private void checkContentLength(HttpServerRequest received) {
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

  private Mono<Void> reject(
      RequestId request,
      HttpServerResponse response,
      CallerExchange exchange,
      CallRejectedException rejection) {
    Reason reason = rejection.reason();
    RequestLog.logRejected(request, reason);
    metrics.recordRejected(reason);
    if (reason == Reason.BODY_TOO_LARGE || reason == Reason.DEADLINE) {
      response.keepAlive(false);
    }
    long retryAfterMillis =
        reason == Reason.OVERLOADED || reason == Reason.NOT_READY
            ? OVERLOADED_RETRY_AFTER_MILLIS
            : 0;
    exchange.failRequest(Outcome.NOT_RUN, reason, rejection.getMessage(), retryAfterMillis);
    return exchange.responseWritten();
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.request.HeaderFields;
import dev.agatepier.wire.request.ResponseTrace;
import dev.agatepier.wire.request.ResponseTrace.Delimiter;
import dev.agatepier.wire.request.UpstreamDialect.Classification;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The task of one upstream connection: it owns the socket and runs one attempt at a time. The
 * connection is not reused after any error or unexpected response.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter
    implements ResponseBudget.Holder {

  /** Maximum size of a response that is not forwarded, in bytes. */
  private static final int MAXIMUM_DISCARDED_BYTES = 262_144;

  /** Maximum number of requests that are kept from using the connection again. */
  private static final int MAXIMUM_RETURNED = 16;

  private final UpstreamPool pool;

  /**
   * Requests that may be sent again, those without success and resumed ones, whose stream may not
   * fit what the caller has: on this connection, a repeated response to the first attempt could not
   * be told from the response to the second.
   */
  private final Set<RequestId> returned = new HashSet<>();

  private StrictClientCodec codec;
  private Channel channel;
  private AttemptExchange exchange;
  private ChannelFuture requestWritten;

  /** Whether the connection can be reused after the current attempt. */
  private boolean reusable;

  /** Whether the connection has carried an earlier attempt. */
  private boolean reused;

  /** Whether the upstream has stated on this connection that it is the listed process. */
  private boolean confirmed;

  /** Kind of the response being received. */
  private ResponseKind responseKind = ResponseKind.NONE;

  private Delimiter delimiter = Delimiter.UNKNOWN;
  private int trailerFields;
  private boolean broken;
  private long discardedBytes;

  /** Response bytes that count against the budget. */
  private long bufferedBytes;

  /** Time after which the idle connection is not reused, in nanoseconds of the process clock. */
  private long idleUntilNanos;

  /** Kinds of responses that a connection receives. */
  private enum ResponseKind {
    /** No response is being received. */
    NONE,
    /** An interim (1xx) response, which is ignored. */
    INTERIM,
    /** The response to the attempt. */
    ATTEMPT,
    /** A response whose head says that the attempt did not run, or one to another request. */
    DISCARDED
  }

  UpstreamConnection(UpstreamPool pool) {
    this.pool = pool;
  }

  /** Stores the channel of the opened connection. */
  void onOpened(Channel opened) {
    channel = opened;
  }

  Channel channel() {
    return channel;
  }

  /**
   * Returns whether the connection can carry another attempt. Bytes behind the last response, such
   * as a part of a second one, would be joined with the next response.
   */
  boolean isUsable(long nowNanos) {
    return exchange == null && isBetweenResponses() && nowNanos - idleUntilNanos < 0;
  }

  /** Returns whether the connection is open and has received nothing behind the last response. */
  boolean isBetweenResponses() {
    return !broken && channel.isActive() && codec.isBetweenResponses();
  }

  boolean isReused() {
    return reused;
  }

  /** Returns whether the upstream has stated on this connection that it is the listed process. */
  boolean isConfirmed() {
    return confirmed;
  }

  void setConfirmed() {
    confirmed = true;
  }

  /** Returns whether a request may be sent over this connection. */
  boolean accepts(RequestId request) {
    return !returned.contains(request);
  }

  /** Returns the exchange in flight, or null. */
  AttemptExchange exchange() {
    return exchange;
  }

  /** Sends the request of an attempt. */
  void send(AttemptExchange next, List<Header> headers) {
    exchange = next;
    reusable = true;
    delimiter = Delimiter.UNKNOWN;
    trailerFields = 0;
    channel.config().setAutoRead(true);
    requestWritten = channel.writeAndFlush(toHttpRequest(next.attempt(), headers));
  }

  /** Cancels the attempt by closing the connection, which is how the upstream detects it. */
  void cancel() {
    broken = true;
    AttemptExchange cancelled = takeExchange();
    if (cancelled != null) {
      cancelled.fail(Reason.WITHDRAWN);
    }
    channel.close();
  }

  /** Adds flow-control credit in bytes and reads on while credit is left. */
  void addCredit(long bytes) {
    if (exchange != null) {
      exchange.addCredit(bytes);
      channel.config().setAutoRead(exchange.canRead());
    }
  }

  @Override
  public void resumeReading() {
    if (exchange != null && !broken) {
      channel.config().setAutoRead(exchange.canRead());
    }
  }

  void close() {
    broken = true;
    channel.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    codec = ctx.pipeline().get(StrictClientCodec.class);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpObject part && !broken) {
        receive(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail(Reason.ANSWER_INCOMPLETE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    if (!(failure instanceof IOException)) {
      pool.failureHandler().accept(failure);
    }
    fail(Reason.UPSTREAM_DIED);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(Reason.UPSTREAM_DIED);
    pool.onClosed(this);
    ctx.fireChannelInactive();
  }

  private void fail(Reason reason) {
    broken = true;
    AttemptExchange failed = takeExchange();
    if (failed != null) {
      failed.fail(reason);
    }
    channel.close();
  }

  @Override
  public void giveUp() {
    fail(Reason.ANSWER_INCOMPLETE);
  }

  /** Returns the exchange in flight, or null, and leaves the connection without one. */
  private AttemptExchange takeExchange() {
    AttemptExchange taken = exchange;
    exchange = null;
    setBufferedBytes(0);
    return taken;
  }

  /** Counts the buffered bytes against the budget, which may give up this response. */
  private void setBufferedBytes(long bytes) {
    if (bytes != bufferedBytes) {
      bufferedBytes = bytes;
      pool.responses().set(this, bytes);
    }
  }

  private void receive(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      failMalformed("response cannot be decoded: " + part.decoderResult().cause().getMessage());
      return;
    }
    if (part instanceof HttpResponse response) {
      onResponse(response);
    }
    if (part instanceof HttpContent content && !broken) {
      onContent(content);
    }
  }

  private void onResponse(HttpResponse response) {
    if (exchange == null) {
      failMalformed("response received without an attempt in flight");
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      responseKind = ResponseKind.INTERIM;
    } else {
      onFinalResponse(response);
    }
  }

  private void onFinalResponse(HttpResponse response) {
    discardedBytes = 0;
    List<Header> headers = HeaderFields.of(response.headers());
    reusable &= HttpUtil.isKeepAlive(response);
    delimiter = delimiterOf(response, exchange.attempt().head().method());
    int status = response.status().code();
    Classification classification = pool.classifyResponse(exchange.attempt(), status, headers);
    boolean mayBeRepeated =
        reused && classification instanceof Classification.NotRun(_, boolean named) && !named;
    if (!mayBeRepeated) {
      pool.onHead(exchange.attempt(), status, headers);
    }
    switch (classification) {
      case Classification.Matched matched -> {
        responseKind = ResponseKind.ATTEMPT;
        pool.reportLoad(exchange.id(), headers);
        exchange.onResponseHead(matched, HttpUtil.getContentLength(response, 0L));
        idleUntilNanos = pool.idleUntil(headers);
        if (response.status().codeClass() != HttpStatusClass.SUCCESS
            || exchange.attempt().resumeAfter().isPresent()) {
          returned.add(exchange.request());
        }
      }
      case Classification.NotRun(Reason reason, boolean _) -> {
        if (mayBeRepeated) {
          failMalformed("a rejection on a reused connection does not name its request");
          return;
        }
        responseKind = ResponseKind.DISCARDED;
        pool.reportLoad(exchange.id(), headers);
        idleUntilNanos = pool.idleUntil(headers);
        returned.add(exchange.request());
        reusable &= reason != Reason.UPSTREAM_OTHER;
        exchange.notRun(reason, true);
      }
      case Classification.Mismatched() -> {
        responseKind = ResponseKind.DISCARDED;
        reusable = false;
      }
      case Classification.Malformed(String detail) -> failMalformed(detail);
    }
  }

  private void onContent(HttpContent content) {
    if (responseKind == ResponseKind.ATTEMPT) {
      exchange.onResponseContent(content.content());
      if (exchange.hasUnsoundEvent()) {
        failMalformed("an event has no number above those before it");
        return;
      }
      if (exchange.ended()) {
        cancel();
        return;
      }
      setBufferedBytes(exchange.bufferedBytes());
      if (broken) {
        return;
      }
      channel.config().setAutoRead(exchange.canRead() && !pool.pausesReading(this));
    } else {
      discardedBytes += content.content().readableBytes();
      if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
        failMalformed("a response that is not forwarded is longer than its maximum");
        return;
      }
    }
    if (content instanceof LastHttpContent last) {
      trailerFields = last.trailingHeaders().size();
      onResponseEnded();
    }
  }

  private void onResponseEnded() {
    ResponseKind received = responseKind;
    responseKind = ResponseKind.NONE;
    if (received == ResponseKind.INTERIM
        || (received == ResponseKind.DISCARDED && !exchange.ended())) {
      return;
    }
    if (received == ResponseKind.ATTEMPT) {
      if (delimiter == Delimiter.CONNECTION_CLOSE && !endedByUpstream()) {
        fail(Reason.ANSWER_INCOMPLETE);
        return;
      }
      // The content counts as passed on from here.
      setBufferedBytes(0);
      if (exchange.onResponseEnded()) {
        pool.onResponseCompleted(exchange, trace());
      }
    }
    takeExchange();
    reused = true;
    reusable &=
        requestWritten.isSuccess()
            && delimiter != Delimiter.CONNECTION_CLOSE
            && returned.size() < MAXIMUM_RETURNED;
    if (reusable) {
      channel.config().setAutoRead(true);
      pool.release(this);
    } else {
      close();
    }
  }

  /**
   * Returns whether the upstream closed the connection cleanly, without a reset or other error, and
   * after the whole request: before, it may have closed it because of the request.
   */
  private boolean endedByUpstream() {
    return requestWritten.isSuccess()
        && channel instanceof io.netty.channel.socket.DuplexChannel duplex
        && duplex.isInputShutdown()
        && duplex.isActive();
  }

  private void failMalformed(String detail) {
    AttemptExchange failed = takeExchange();
    pool.onMalformedResponse(failed, detail, trace());
    close();
    if (failed != null) {
      failed.fail(Reason.UPSTREAM_FAILED);
    }
  }

  private ResponseTrace trace() {
    boolean written = requestWritten != null && requestWritten.isSuccess();
    return new ResponseTrace(delimiter, trailerFields, reused, written);
  }

  private static Delimiter delimiterOf(HttpResponse response, String method) {
    int status = response.status().code();
    if (status == 204 || status == 304 || method.equals(HttpMethod.HEAD.name())) {
      return Delimiter.NO_BODY;
    }
    if (HttpUtil.isTransferEncodingChunked(response)) {
      return Delimiter.CHUNKED;
    }
    return HttpUtil.isContentLengthSet(response)
        ? Delimiter.CONTENT_LENGTH
        : Delimiter.CONNECTION_CLOSE;
  }

  private static FullHttpRequest toHttpRequest(RunAttempt attempt, List<Header> headers) {
    ByteBuf body = Unpooled.wrappedBuffer(attempt.body().array());
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(attempt.head().method()),
            attempt.head().path(),
            body,
            DefaultHttpHeadersFactory.headersFactory().withValidation(false),
            DefaultHttpHeadersFactory.trailersFactory());
    headers.forEach(header -> request.headers().add(header.name(), header.value()));
    if (body.isReadable() || carriesBody(attempt.head().method())) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.readableBytes()));
    }
    return request;
  }

  private static boolean carriesBody(String method) {
    return method.equals("POST") || method.equals("PUT") || method.equals("PATCH");
  }
}

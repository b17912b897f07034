package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.request.HeaderFields;
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
import java.util.List;

/**
 * The task of one connection to an upstream: it owns the socket and carries one attempt at a time.
 * A connection on which anything odd was seen is never used again.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

  private final UpstreamPool pool;
  private Channel channel;
  private AttemptExchange exchange;
  private ChannelFuture written;

  /** Whether the connection may carry another attempt after this one. */
  private boolean reusable;

  /** What is being received. */
  private ResponseKind receiving = ResponseKind.NONE;

  private boolean unframed;
  private boolean broken;

  /** When an idle connection must not be used any more, in nanoseconds of the process's clock. */
  private long idleUntilNanos;

  /** What an answer that is being received is. */
  private enum ResponseKind {
    /** No answer, or none that is known. */
    NONE,
    /** An interim answer, which means nothing. */
    INTERIM,
    /** The answer to the attempt. */
    ATTEMPT,
    /** An answer that says all there is to say in its head, or that belongs to another request. */
    DISCARDED
  }

  UpstreamConnection(UpstreamPool pool) {
    this.pool = pool;
  }

  /** Takes the opened socket. */
  void onOpened(Channel open) {
    channel = open;
  }

  Channel channel() {
    return channel;
  }

  boolean isUsable(long nowNanos) {
    return exchange == null && !broken && channel.isActive() && nowNanos - idleUntilNanos < 0;
  }

  /** Returns the attempt under way, or null. */
  AttemptExchange exchange() {
    return exchange;
  }

  /** Sends an attempt. */
  void send(AttemptExchange next, List<Header> headers) {
    exchange = next;
    reusable = true;
    unframed = false;
    channel.config().setAutoRead(true);
    written = channel.writeAndFlush(request(next.attempt(), headers));
  }

  /** Stops the attempt: the upstream learns of it by the end of the connection. */
  void cancel() {
    broken = true;
    AttemptExchange cancelled = exchange;
    exchange = null;
    if (cancelled != null) {
      cancelled.fail(Reason.WITHDRAWN);
    }
    channel.close();
  }

  /** Lets more of the answer be read. */
  void addCredit(long bytes) {
    if (exchange != null) {
      exchange.addCredit(bytes);
      channel.config().setAutoRead(exchange.canRead());
    }
  }

  void close() {
    broken = true;
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    try {
      if (message instanceof HttpObject part && !broken) {
        receive(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext triggered, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      lost(Reason.ANSWER_INCOMPLETE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext caught, Throwable failure) {
    if (!(failure instanceof IOException)) {
      pool.failures().accept(failure);
    }
    lost(Reason.UPSTREAM_DIED);
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    lost(Reason.UPSTREAM_DIED);
    pool.onClosed(this);
    inactive.fireChannelInactive();
  }

  private void lost(Reason reason) {
    broken = true;
    AttemptExchange cut = exchange;
    exchange = null;
    if (cut != null) {
      cut.fail(reason);
    }
    channel.close();
  }

  private void receive(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      unsound("the answer cannot be decoded: " + part.decoderResult().cause().getMessage());
      return;
    }
    if (part instanceof HttpResponse response) {
      begin(response);
    }
    if (part instanceof HttpContent content && !broken) {
      proceed(content);
    }
  }

  private void begin(HttpResponse response) {
    if (exchange == null) {
      unsound("an answer came that nobody waits for");
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      receiving = ResponseKind.INTERIM;
    } else {
      judge(response);
    }
  }

  private void judge(HttpResponse response) {
    List<Header> headers = HeaderFields.of(response.headers());
    reusable &= HttpUtil.isKeepAlive(response);
    unframed =
        !HttpUtil.isTransferEncodingChunked(response)
            && !HttpUtil.isContentLengthSet(response)
            && !bodiless(response);
    switch (pool.classifyResponse(exchange.attempt(), response.status().code(), headers)) {
      case Classification.Matched own -> {
        receiving = ResponseKind.ATTEMPT;
        exchange.onResponseHead(own);
        idleUntilNanos = pool.idleUntil(headers);
      }
      case Classification.NotRun(Reason reason) -> {
        receiving = ResponseKind.DISCARDED;
        idleUntilNanos = pool.idleUntil(headers);
        exchange.notRun(reason, true);
      }
      case Classification.Mismatched() -> {
        receiving = ResponseKind.DISCARDED;
        reusable = false;
      }
      case Classification.Malformed(String flaw) -> unsound(flaw);
    }
  }

  private void proceed(HttpContent content) {
    if (receiving == ResponseKind.ATTEMPT) {
      exchange.onResponseContent(content.content());
      if (exchange.ended()) {
        cancel();
        return;
      }
      channel.config().setAutoRead(exchange.canRead());
    }
    if (content instanceof LastHttpContent) {
      endAnswer();
    }
  }

  private void endAnswer() {
    ResponseKind received = receiving;
    receiving = ResponseKind.NONE;
    if (received == ResponseKind.INTERIM
        || (received == ResponseKind.DISCARDED && !exchange.ended())) {
      return;
    }
    if (received == ResponseKind.ATTEMPT) {
      if (unframed && !endedInOrder()) {
        lost(Reason.ANSWER_INCOMPLETE);
        return;
      }
      exchange.onResponseEnded();
    }
    exchange = null;
    reusable &= written.isSuccess() && !unframed;
    if (reusable) {
      channel.config().setAutoRead(true);
      pool.release(this);
    } else {
      close();
    }
  }

  /** Returns whether the upstream ended the connection, and nothing broke it. */
  private boolean endedInOrder() {
    return channel instanceof io.netty.channel.socket.DuplexChannel duplex
        && duplex.isInputShutdown()
        && duplex.isActive();
  }

  private void unsound(String flaw) {
    AttemptExchange cut = exchange;
    exchange = null;
    pool.onMalformedResponse(cut, flaw);
    close();
    if (cut != null) {
      cut.fail(Reason.UPSTREAM_FAILED);
    }
  }

  private static boolean bodiless(HttpResponse response) {
    int status = response.status().code();
    return status == 204 || status == 304;
  }

  private static FullHttpRequest request(RunAttempt attempt, List<Header> headers) {
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

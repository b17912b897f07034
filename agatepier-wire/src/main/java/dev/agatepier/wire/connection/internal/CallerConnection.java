package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.FleetResponse;
import dev.agatepier.wire.request.HeaderFields;
import dev.agatepier.wire.request.ReceivedHead;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The task of one caller's connection: it owns the socket, takes in one request after the other and
 * carries their answers out. All of it runs on the socket's event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Parts of later requests that are kept while one is under way; then the socket is not read. */
  private static final int MOST_KEPT_PARTS = 64;

  /** Bytes that the caller has taken before the router is told of them. */
  private static final int REPORTED_BYTES = 16_384;

  private final CallerPortContext context;
  private final Deque<HttpObject> kept = new ArrayDeque<>();
  private Channel channel;
  private ResponseWriter writer;
  private InFlightCall current;

  /** Whether what still comes is dropped, because the connection is about to be closed. */
  private boolean deaf;

  private CallerTimeouts patience;

  /** Creates the task of a connection that is about to be opened. */
  public CallerConnection(CallerPortContext context) {
    this.context = context;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    channel = added.channel();
    writer = new ResponseWriter(channel);
    patience =
        new CallerTimeouts(
            channel,
            context.clock(),
            this::bounds,
            () -> current == null,
            () -> refuseUnread(Reason.HEAD_TIMEOUT));
    patience.start();
  }

  /** Reads without being asked, after the library's own handler has ended that. */
  @Override
  public void channelActive(ChannelHandlerContext active) {
    active.fireChannelActive();
    channel.config().setAutoRead(true);
  }

  /** Notes that bytes came, before they are decoded. */
  void onBytesReceived() {
    if (current == null) {
      patience.onHeadBytes();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object message) {
    if (deaf || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
    } else if (current != null && current.received) {
      kept.add(part);
      if (kept.size() >= MOST_KEPT_PARTS) {
        channel.config().setAutoRead(false);
      }
    } else {
      take(part);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) {
    kept.forEach(ReferenceCountUtil::release);
    kept.clear();
    InFlightCall gone = current;
    if (gone != null) {
      release(gone);
      if (gone.submitted) {
        context.events().accept(new RouterEvent.CallerDisconnected(gone.request));
      } else if (gone.received) {
        context.onRequestRejected(gone.request, gone.label, Reason.CALLER_GONE);
      }
    }
    context.onConnectionClosed(this);
    inactive.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext caught, Throwable failure) {
    if (!(failure instanceof IOException)) {
      context.failures().accept(failure);
    }
    channel.close();
  }

  /** From now on the connection ends with its next answer. */
  public void closeAfterResponse() {
    writer.closeAfterNextResponse();
  }

  /** Closes the connection if nothing is under way on it. */
  public void closeIfIdle() {
    writer.closeAfterNextResponse();
    if (current == null && !patience.readingHead()) {
      channel.close();
    }
  }

  /** Begins the answer to a request. */
  public void startResponse(RequestId request, ResponseHead head) {
    if (isCurrent(request)) {
      current.responseStarted = true;
      writer.startResponse(current, head);
    }
  }

  /** Continues the answer to a request. */
  public void writeContent(RequestId request, Bytes content) {
    if (!isCurrent(request)) {
      return;
    }
    InFlightCall call = current;
    if (call.headOnly) {
      took(call, content.size());
    } else {
      writer.writeContent(content).addListener(written -> took(call, content.size()));
    }
  }

  /** Ends the answer to a request as whole. */
  public void endResponse(RequestId request) {
    if (isCurrent(request)) {
      finish(writer.endResponse());
    }
  }

  /** Ends a request with an answer of the fleet's own, or with a broken transfer. */
  public void failRequest(
      RequestId request, Outcome outcome, Reason reason, long retryAfterMillis) {
    if (!isCurrent(request)) {
      return;
    }
    if (current.responseStarted) {
      channel.close();
    } else {
      answerFailure(outcome, reason, retryAfterMillis);
    }
  }

  private boolean isCurrent(RequestId request) {
    return current != null && current.request.equals(request);
  }

  private void take(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        refuseMalformed(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest request) {
        receive(request);
      }
      if (part instanceof HttpContent content && current != null) {
        receive(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void receive(HttpRequest request) {
    patience.onHeadCompleted();
    ReceivedHead head = head(request);
    Optional<AcceptedCall> intake = Optional.empty();
    Optional<Reason> refusal = Optional.empty();
    try {
      intake = Optional.of(context.dialect().accept(head, context.clock().nanoTime()));
    } catch (CallRejectedException refused) {
      refusal = Optional.of(refused.reason());
    }
    current =
        new InFlightCall(
            context.nextRequestId(),
            context.dialect().label(head),
            intake,
            refusal,
            request,
            channel.alloc().buffer());
    if (HttpUtil.getContentLength(request, 0L) > bounds().bodyBytes()) {
      refuseBody();
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void receive(HttpContent content) {
    if (current.rejection.isEmpty()) {
      current.body.writeBytes(content.content());
    }
    if (current.body.readableBytes() > bounds().bodyBytes()) {
      refuseBody();
    } else if (content instanceof LastHttpContent) {
      current.received = true;
      current.rejection.ifPresentOrElse(this::refuse, () -> submitUnlessGone(current));
    }
  }

  /**
   * Submits a request behind what else the loop has read of its connection. After a pause the
   * oldest requests come first, and their callers have often left: the end of a connection is read
   * right behind its request.
   */
  private void submitUnlessGone(InFlightCall call) {
    channel
        .eventLoop()
        .execute(
            () -> {
              if (call == current && channel.isActive()) {
                submit();
              }
            });
  }

  private void submit() {
    current.submitted = true;
    byte[] body = new byte[current.body.readableBytes()];
    current.body.readBytes(body);
    AcceptedCall intake = current.intake.orElseThrow();
    if (!context.submit(this, current.request, intake, new Bytes(body))) {
      refuse(Reason.OVERLOADED);
    }
  }

  private void refuse(Reason reason) {
    context.onRequestRejected(current.request, current.label, reason);
    answerFailure(Outcome.NOT_RUN, reason, context.retryAfterMillis(reason));
  }

  /** Refuses a request whose body is too long; the rest of it is not read. */
  private void refuseBody() {
    writer.closeAfterNextResponse();
    refuse(Reason.BODY_TOO_LARGE);
  }

  private void answerFailure(Outcome outcome, Reason reason, long retryAfterMillis) {
    FleetResponse answer =
        context.dialect().failureResponse(current.label, outcome, reason, retryAfterMillis);
    finish(writer.writeFullResponse(answer, current.headOnly, current.keepAlive));
  }

  private void refuseMalformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    refuseUnread(tooLong ? Reason.HEAD_TOO_LARGE : Reason.BAD_REQUEST);
  }

  /** Refuses what never became a request, or broke off in its body, and closes the connection. */
  private void refuseUnread(Reason reason) {
    context.onRequestRejected(null, current == null ? "" : current.label, reason);
    writer.closeAfterNextResponse();
    if (current != null) {
      release(current);
    }
    goDeaf();
    FleetResponse answer = context.dialect().failureResponse("", Outcome.NOT_RUN, reason, 0);
    writer.lingerThenClose(writer.writeFullResponse(answer, false, false));
  }

  private void finish(ChannelFuture written) {
    release(current);
    patience.onIdle();
    if (writer.closesConnection()) {
      goDeaf();
      writer.lingerThenClose(written);
    } else {
      takeKept();
    }
  }

  private void goDeaf() {
    deaf = true;
    patience.stop();
  }

  private void release(InFlightCall call) {
    current = null;
    call.body.release();
    context.onRequestFinished(call.request);
  }

  private void takeKept() {
    while (!kept.isEmpty() && !deaf && (current == null || !current.received)) {
      take(kept.poll());
    }
    if (kept.size() < MOST_KEPT_PARTS && !channel.config().isAutoRead()) {
      channel.config().setAutoRead(true);
    }
  }

  private void took(InFlightCall call, int bytes) {
    call.unreportedBytes += bytes;
    if (call.unreportedBytes >= REPORTED_BYTES) {
      context.events().accept(new RouterEvent.ResponseConsumed(call.request, call.unreportedBytes));
      call.unreportedBytes = 0;
    }
  }

  private CallerBounds bounds() {
    return context.dialect().bounds();
  }

  private static ReceivedHead head(HttpRequest request) {
    return new ReceivedHead(
        request.method().name(), request.uri(), HeaderFields.of(request.headers()));
  }
}

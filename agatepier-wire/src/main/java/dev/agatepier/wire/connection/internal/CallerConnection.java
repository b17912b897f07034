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
 * The task of one caller connection: it owns the socket, reads one request after the other and
 * writes their responses. Runs on the event loop of the socket.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Parts of pipelined requests queued behind the one in flight before reading is paused. */
  private static final int MAXIMUM_PIPELINED_PARTS = 64;

  /** Number of written response bytes after which they are reported to the router as consumed. */
  private static final int CONSUMED_REPORT_BYTES = 16_384;

  private final CallerPortContext context;
  private final Deque<HttpObject> pipelined = new ArrayDeque<>();
  private Channel channel;
  private ResponseWriter writer;
  private InFlightCall current;

  /** Whether further input is discarded because the connection is about to be closed. */
  private boolean discarding;

  private CallerTimeouts timeouts;

  /** Creates the task before the connection is opened. */
  public CallerConnection(CallerPortContext context) {
    this.context = context;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    writer = new ResponseWriter(channel);
    timeouts =
        new CallerTimeouts(
            channel,
            context.clock(),
            this::bounds,
            () -> current == null,
            () -> rejectAndClose(Reason.HEAD_TIMEOUT));
    timeouts.start();
  }

  /** Turns auto-read back on after the handler of Reactor Netty has turned it off. */
  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.fireChannelActive();
    channel.config().setAutoRead(true);
  }

  /** Called when bytes are received, before they are decoded. */
  void onBytesReceived() {
    if (current == null) {
      timeouts.onHeadBytes();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (discarding || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
    } else if (current != null && current.received) {
      pipelined.add(part);
      if (pipelined.size() >= MAXIMUM_PIPELINED_PARTS) {
        channel.config().setAutoRead(false);
      }
    } else {
      process(part);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pipelined.forEach(ReferenceCountUtil::release);
    pipelined.clear();
    InFlightCall call = current;
    if (call != null) {
      release(call);
      if (call.submitted) {
        context.events().accept(new RouterEvent.CallerDisconnected(call.request));
      } else if (call.received) {
        context.onRequestRejected(call.request, call.label, Reason.CALLER_GONE);
      }
    }
    context.onConnectionClosed(this);
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    if (!(failure instanceof IOException)) {
      context.failureHandler().accept(failure);
    }
    channel.close();
  }

  /** Closes the connection after its next response. */
  public void closeAfterResponse() {
    writer.closeAfterNextResponse();
  }

  /** Closes the connection now if it is idle, otherwise after its next response. */
  public void closeIfIdle() {
    writer.closeAfterNextResponse();
    if (current == null && !timeouts.readingHead()) {
      channel.close();
    }
  }

  /** Writes the head of the response; ignored unless the request is the current one. */
  public void startResponse(RequestId request, ResponseHead head) {
    if (isCurrent(request)) {
      current.responseStarted = true;
      writer.startResponse(current, head);
    }
  }

  /** Writes content of the response; ignored unless the request is the current one. */
  public void writeContent(RequestId request, Bytes content) {
    if (!isCurrent(request)) {
      return;
    }
    InFlightCall call = current;
    if (call.headOnly) {
      onContentWritten(call, content.size());
    } else {
      writer.writeContent(content).addListener(written -> onContentWritten(call, content.size()));
    }
  }

  /** Completes the response; ignored unless the request is the current one. */
  public void endResponse(RequestId request) {
    if (isCurrent(request)) {
      finishResponse(writer.endResponse());
    }
  }

  /** Sends an error response, or closes the connection if the response has already started. */
  public void failRequest(
      RequestId request, Outcome outcome, Reason reason, long retryAfterMillis) {
    if (!isCurrent(request)) {
      return;
    }
    if (current.responseStarted) {
      channel.close();
    } else {
      respondWithFailure(outcome, reason, retryAfterMillis);
    }
  }

  private boolean isCurrent(RequestId request) {
    return current != null && current.request.equals(request);
  }

  private void process(HttpObject part) {
    try {
      if (part.decoderResult().isFailure()) {
        rejectMalformed(part.decoderResult().cause());
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
    timeouts.onHeadCompleted();
    ReceivedHead head = toReceivedHead(request);
    Optional<AcceptedCall> acceptedCall = Optional.empty();
    Optional<Reason> rejection = Optional.empty();
    try {
      acceptedCall = Optional.of(context.dialect().accept(head, context.clock().nanoTime()));
    } catch (CallRejectedException rejected) {
      rejection = Optional.of(rejected.reason());
    }
    current =
        new InFlightCall(
            context.nextRequestId(),
            context.dialect().label(head),
            acceptedCall,
            rejection,
            request,
            channel.alloc().buffer());
    if (HttpUtil.getContentLength(request, 0L) > bounds().bodyBytes()) {
      rejectBody();
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
      rejectBody();
    } else if (content instanceof LastHttpContent) {
      current.received = true;
      current.rejection.ifPresentOrElse(this::reject, () -> submitIfConnected(current));
    }
  }

  /**
   * Submits the request after the other pending events of the event loop, unless the caller has
   * disconnected. After a pause of the process the oldest requests are read first, and many of
   * their callers have disconnected: the end of the connection is read directly after the request.
   */
  private void submitIfConnected(InFlightCall call) {
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
    AcceptedCall acceptedCall = current.acceptedCall.orElseThrow();
    if (!context.submit(this, current.request, acceptedCall, new Bytes(body))) {
      reject(Reason.OVERLOADED);
    }
  }

  private void reject(Reason reason) {
    context.onRequestRejected(current.request, current.label, reason);
    respondWithFailure(Outcome.NOT_RUN, reason, context.retryAfterMillis(reason));
  }

  /** Rejects a request whose body exceeds the bound, and closes without reading the rest. */
  private void rejectBody() {
    writer.closeAfterNextResponse();
    reject(Reason.BODY_TOO_LARGE);
  }

  private void respondWithFailure(Outcome outcome, Reason reason, long retryAfterMillis) {
    FleetResponse response =
        context.dialect().failureResponse(current.label, outcome, reason, retryAfterMillis);
    finishResponse(writer.writeFullResponse(response, current.headOnly, current.keepAlive));
  }

  private void rejectMalformed(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    rejectAndClose(tooLong ? Reason.HEAD_TOO_LARGE : Reason.BAD_REQUEST);
  }

  /**
   * Rejects a request that cannot be decoded or whose head times out, and closes the connection.
   */
  private void rejectAndClose(Reason reason) {
    context.onRequestRejected(null, current == null ? "" : current.label, reason);
    writer.closeAfterNextResponse();
    if (current != null) {
      release(current);
    }
    discardInput();
    FleetResponse response = context.dialect().failureResponse("", Outcome.NOT_RUN, reason, 0);
    writer.lingerThenClose(writer.writeFullResponse(response, false, false));
  }

  private void finishResponse(ChannelFuture written) {
    release(current);
    timeouts.onIdle();
    if (writer.closesConnection()) {
      discardInput();
      writer.lingerThenClose(written);
    } else {
      processPipelined();
    }
  }

  private void discardInput() {
    discarding = true;
    timeouts.stop();
  }

  private void release(InFlightCall call) {
    current = null;
    call.body.release();
    context.onRequestFinished(call.request);
  }

  private void processPipelined() {
    while (!pipelined.isEmpty() && !discarding && (current == null || !current.received)) {
      process(pipelined.poll());
    }
    if (pipelined.size() < MAXIMUM_PIPELINED_PARTS && !channel.config().isAutoRead()) {
      channel.config().setAutoRead(true);
    }
  }

  private void onContentWritten(InFlightCall call, int bytes) {
    call.unreportedBytes += bytes;
    if (call.unreportedBytes >= CONSUMED_REPORT_BYTES) {
      context.events().accept(new RouterEvent.ResponseConsumed(call.request, call.unreportedBytes));
      call.unreportedBytes = 0;
    }
  }

  private CallerBounds bounds() {
    return context.dialect().bounds();
  }

  private static ReceivedHead toReceivedHead(HttpRequest request) {
    return new ReceivedHead(
        request.method().name(), request.uri(), HeaderFields.of(request.headers()));
  }
}

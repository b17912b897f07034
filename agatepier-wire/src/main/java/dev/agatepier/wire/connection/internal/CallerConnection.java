package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.FleetResponse;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;

/**
 * The task of one caller connection: it owns the socket, reads one request after the other and
 * writes their responses. Runs on the event loop of the socket.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter
    implements OpenConnections.Entry {

  private final CallerPortContext context;
  private final CallerInput input;
  private final SlicedWriteHandler output = new SlicedWriteHandler(this::onOutputChanged);
  private final CallerProgress progress;
  private Channel channel;
  private ConnectionMemory memory;
  private RequestLimits limits;
  private ResponseWriter writer;
  private InFlightCall current;

  /** Whether further input is discarded because the connection is about to be closed. */
  private boolean discarding;

  private CallerTimeouts timeouts;

  /**
   * Creates the task before the connection is opened.
   *
   * @param headerBytes maximum size of a request head, in bytes
   */
  public CallerConnection(CallerPortContext context, int headerBytes) {
    this.context = context;
    input = new CallerInput(headerBytes, context.limits().pipelinedBytes());
    progress = new CallerProgress(context.limits());
  }

  StrictRequestDecoder decoder() {
    return input.decoder();
  }

  SlicedWriteHandler output() {
    return output;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    memory =
        new ConnectionMemory(
            context.memory(), context.clock(), channel, this::displaceable, this::onEvicted);
    limits = new RequestLimits(context.limits(), memory, context.incidents());
    writer = new ResponseWriter(channel);
    timeouts =
        new CallerTimeouts(
            channel,
            context.clock(),
            this::bounds,
            () -> current == null && output.waitingBytes() == 0,
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
  void onBytesReceived(int bytes) {
    memory.onProgress();
    input.onReceived(bytes);
    if (current == null && !input.isHeld()) {
      timeouts.onHeadBytes();
    }
  }

  /** Called when the received bytes are decoded, but for those that have to wait. */
  void onBytesDecoded() {
    input.updateReading(channel);
    boolean inHead = current == null && timeouts.readingHead() && !discarding;
    memory.setInput(input.heldBytes(inHead));
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (discarding || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
    } else {
      process(part);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    InFlightCall call = current;
    if (call != null) {
      release(call);
      if (call.submitted) {
        context.events().accept(new RouterEvent.CallerDisconnected(call.request));
      } else if (call.received) {
        context.onRequestRejected(call.request, call.label, Reason.CALLER_GONE);
      }
    }
    memory.close();
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

  @Override
  public ConnectionMemory memory() {
    return memory;
  }

  @Override
  public boolean displaceable() {
    return current == null
        || !current.received
        || output.waitingBytes() > 0
        || input.hasUndecoded();
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Ends a body or a response whose rate stays below the minimum. */
  public void checkProgress(long nowNanos) {
    long unreportedBytes =
        discarding || output.unwrittenBytes() == 0 ? 0 : output.unreportedBytes();
    if (progress.readsTooSlowly(output, unreportedBytes, nowNanos)) {
      context.incidents().record(CallerLimit.SLOW_RESPONSE, memory.address());
      channel.close();
    } else if (progress.sendsTooSlowly(current, nowNanos)) {
      context.incidents().record(CallerLimit.SLOW_BODY, memory.address());
      rejectAndClose(Reason.BODY_TIMEOUT);
    }
  }

  /** Ends what the memory is held for, after the event that took the budget's last bytes. */
  private void onEvicted() {
    context.incidents().record(CallerLimit.MEMORY_EVICTED, memory.address());
    if (current != null && !current.received) {
      channel.eventLoop().execute(this::rejectEvicted);
    } else {
      channel.close();
    }
  }

  private void rejectEvicted() {
    if (current != null && !current.received) {
      rejectAndClose(Reason.OVERLOADED);
    } else {
      channel.close();
    }
  }

  private void onOutputChanged() {
    memory.onProgress();
    memory.setResponse(output.waitingBytes());
    if (current == null && output.waitingBytes() == 0 && !discarding) {
      timeouts.onIdle();
      resumeReading();
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
        rejectAndClose(RequestLimits.reasonOf(part.decoderResult().cause()));
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
    current = InFlightCall.of(context, request, input.decodedBytes());
    progress.onHead(context.clock().nanoTime());
    Optional<Reason> excess = limits.checkHead(current, bounds(), input.takeFieldCount());
    if (excess.isPresent()) {
      rejectWithoutRest(excess.get());
    } else if (HttpUtil.is100ContinueExpected(request)) {
      writer.writeContinue();
    }
  }

  private void receive(HttpContent content) {
    current.contentBytes += content.content().readableBytes();
    if (current.rejection.isEmpty()) {
      current.body.append(content.content());
    }
    Optional<Reason> excess = limits.checkBody(current, bounds(), input.decodedBytes());
    if (excess.isPresent()) {
      rejectWithoutRest(excess.get());
    } else if (content instanceof LastHttpContent) {
      current.received = true;
      input.hold();
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
    Bytes body = current.body.take();
    AcceptedCall acceptedCall = current.acceptedCall.orElseThrow();
    if (!context.submit(this, current.request, acceptedCall, body)) {
      reject(Reason.OVERLOADED);
    }
  }

  private void reject(Reason reason) {
    context.onRequestRejected(current.request, current.label, reason);
    respondWithFailure(Outcome.NOT_RUN, reason, context.retryAfterMillis(reason));
  }

  /** Rejects a request that exceeds a limit, and closes without reading the rest. */
  private void rejectWithoutRest(Reason reason) {
    writer.closeAfterNextResponse();
    reject(reason);
  }

  private void respondWithFailure(Outcome outcome, Reason reason, long retryAfterMillis) {
    FleetResponse response =
        context.dialect().failureResponse(current.label, outcome, reason, retryAfterMillis);
    finishResponse(writer.writeFullResponse(response, current.headOnly, current.keepAlive));
  }

  /**
   * Rejects a request that cannot be decoded or whose head times out, and closes the connection.
   */
  private void rejectAndClose(Reason reason) {
    String label = current == null ? "" : current.label;
    context.onRequestRejected(null, label, reason);
    writer.closeAfterNextResponse();
    if (current != null) {
      release(current);
    }
    discardInput();
    long retryAfterMillis = context.retryAfterMillis(reason);
    FleetResponse response =
        context.dialect().failureResponse(label, Outcome.NOT_RUN, reason, retryAfterMillis);
    writer.lingerThenClose(writer.writeFullResponse(response, false, false));
  }

  private void finishResponse(ChannelFuture written) {
    release(current);
    timeouts.onIdle();
    if (writer.closesConnection()) {
      discardInput();
      writer.lingerThenClose(written);
    } else if (output.waitingBytes() == 0) {
      resumeReading();
    }
  }

  private void discardInput() {
    discarding = true;
    input.discard();
    timeouts.stop();
  }

  private void release(InFlightCall call) {
    current = null;
    memory.releaseRequest();
    context.onRequestFinished(call.request);
  }

  /** Decodes the next pipelined request, and reads on. */
  private void resumeReading() {
    if (input.hasUndecoded()) {
      timeouts.onHeadBytes();
    }
    input.resume(channel);
    onBytesDecoded();
  }

  private void onContentWritten(InFlightCall call, int bytes) {
    long consumed = call.takeConsumed(bytes);
    if (consumed > 0) {
      context.events().accept(new RouterEvent.ResponseConsumed(call.request, consumed));
    }
  }

  private CallerBounds bounds() {
    return context.dialect().bounds();
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.wire.connection.MemoryBudget;
import dev.agatepier.wire.connection.internal.StrictRequestDecoder.Gate;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * One connection of a port that responds to the head of each request with a status alone. Content
 * is not read; requests whose responses are not read stay encoded.
 */
public final class ProbeConnection extends ChannelInboundHandlerAdapter
    implements OpenConnections.Entry {

  /** Bytes of responses that wait for a caller before further requests are held back. */
  public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(1_024, 4_096);

  private static final int HEADER_BYTES = 8_192;

  /** Time that a caller has to complete a head and to read the response. */
  private static final long REQUEST_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time that a connection may be idle; load balancers probe every few seconds. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final StrictRequestDecoder decoder = new StrictRequestDecoder(HEADER_BYTES);
  private final MonotonicClock clock;
  private final MemoryBudget budget;
  private final Function<HttpRequest, HttpResponseStatus> statusOf;
  private final Runnable onClosed;
  private Channel channel;
  private ConnectionMemory memory;
  private long headBytes;

  /** When the head began or, without one, when the last response was written or the start. */
  private long sinceNanos;

  private boolean closing;

  /**
   * Creates the connection before it is opened.
   *
   * @param statusOf returns the status of the response to a request
   * @param onClosed called when the connection is closed
   */
  public ProbeConnection(
      MonotonicClock clock,
      MemoryBudget budget,
      Function<HttpRequest, HttpResponseStatus> statusOf,
      Runnable onClosed) {
    this.clock = clock;
    this.budget = budget;
    this.statusOf = statusOf;
    this.onClosed = onClosed;
  }

  /** Installs the connection and its decoder on a new channel. */
  public void install(Channel opened) {
    opened.pipeline().addFirst("agatepier-probe-decoder", decoder);
    opened.pipeline().addAfter("agatepier-probe-decoder", "agatepier-probe", this);
    opened.pipeline().addFirst("agatepier-probe-input", new InputCounter());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    sinceNanos = clock.nanoTime();
    memory = new ConnectionMemory(budget, clock, channel, () -> true, this::close);
  }

  /** Turns auto-read back on after the handler of Reactor Netty has turned it off. */
  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    ctx.fireChannelActive();
    channel.config().setAutoRead(true);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpObject part && !closing) {
        receive(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void receive(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      respond(HttpResponseStatus.BAD_REQUEST, false);
    } else if (part instanceof HttpRequest request) {
      boolean bodyFollows =
          HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
      respond(statusOf.apply(request), HttpUtil.isKeepAlive(request) && !bodyFollows);
    }
  }

  private void respond(HttpResponseStatus status, boolean keepAlive) {
    headBytes = 0;
    decoder.forgetHead();
    sinceNanos = clock.nanoTime();
    memory.onProgress();
    String response =
        "HTTP/1.1 %d %s\r\ncontent-length: 0\r\n%s\r\n"
            .formatted(
                status.code(), status.reasonPhrase(), keepAlive ? "" : "connection: close\r\n");
    ChannelFuture written =
        channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), response));
    if (!keepAlive) {
      closing = true;
      decoder.setGate(Gate.DISCARDING);
      new ResponseWriter(channel).lingerThenClose(written);
    } else if (!channel.isWritable()) {
      decoder.setGate(Gate.CLOSED);
      channel.config().setAutoRead(false);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
    if (channel.isWritable() && decoder.isClosed()) {
      channel.config().setAutoRead(true);
      decoder.resume(channel.pipeline().context(decoder));
    }
    ctx.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    memory.close();
    onClosed.run();
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
    channel.close();
  }

  /** Closes the connection if its caller takes too long. */
  public void checkProgress(long nowNanos) {
    boolean waiting = headBytes > 0 || closing || decoder.isClosed();
    if (nowNanos - sinceNanos > (waiting ? REQUEST_NANOS : IDLE_NANOS)) {
      channel.close();
    }
  }

  @Override
  public ConnectionMemory memory() {
    return memory;
  }

  @Override
  public boolean displaceable() {
    return true;
  }

  @Override
  public void close() {
    channel.close();
  }

  /** Counts received bytes and what the decoder has kept of them. */
  private final class InputCounter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (headBytes == 0) {
        sinceNanos = clock.nanoTime();
      }
      headBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
      ctx.fireChannelRead(message);
      boolean inHead = headBytes > 0 && !closing;
      long head = inHead ? ConnectionMemory.headCost(headBytes, decoder.fieldCount()) : 0;
      memory.setInput(decoder.bufferBytes() + head);
    }
  }
}

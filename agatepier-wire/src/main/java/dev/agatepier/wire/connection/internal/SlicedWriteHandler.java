package dev.agatepier.wire.connection.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Passes large buffers to the socket in slices, as the socket takes them. The transport copies each
 * buffer that is passed to it to direct memory, so that without slices the responses to callers who
 * do not read them use up the direct memory of the process.
 */
final class SlicedWriteHandler extends ChannelDuplexHandler {

  /** Maximum size of a buffer that is passed to the socket, in bytes. */
  static final int SLICE_BYTES = 16_384;

  /** Bytes that wait in a socket's queue before its channel is no longer writable. */
  static final WriteBufferWaterMark WATER_MARK =
      new WriteBufferWaterMark(SLICE_BYTES / 2, 2 * SLICE_BYTES);

  /** Highest number of bytes that wait in a socket's queue, in direct memory. */
  private static final int MAXIMUM_QUEUED_BYTES = 3 * SLICE_BYTES;

  /** Bytes that each buffer takes beside its content. */
  private static final int BUFFER_BYTES = 128;

  /** Divisor of a socket's buffer that gives the part that is free when the socket takes more. */
  private static final int SOCKET_STEP_DIVISOR = 3;

  private final Deque<Pending> pending = new ArrayDeque<>();
  private final Runnable onChanged;
  private long pendingBytes;
  private long passedBytes;
  private Channel channel;

  private record Pending(Object message, ChannelPromise promise) {}

  /** Creates the handler; {@code onChanged} is called when the bytes that wait have changed. */
  SlicedWriteHandler(Runnable onChanged) {
    this.onChanged = onChanged;
  }

  /** Returns the bytes that wait here, and in the queue of a socket that does not take more. */
  long waitingBytes() {
    return pending.isEmpty()
        ? 0
        : pendingBytes + BUFFER_BYTES * pending.size() + MAXIMUM_QUEUED_BYTES;
  }

  /** Returns the bytes that were passed to the socket since the start. */
  long passedBytes() {
    return passedBytes;
  }

  /** Returns the bytes that wait here and in the queue of the socket. */
  long unwrittenBytes() {
    return pendingBytes + queuedBytes();
  }

  /** Returns the bytes that the socket took since the start. */
  long writtenBytes() {
    return passedBytes - queuedBytes();
  }

  private long queuedBytes() {
    ChannelOutboundBuffer queue = channel.unsafe().outboundBuffer();
    return queue == null ? 0 : queue.totalPendingWriteBytes();
  }

  /**
   * Returns how many bytes the peer may have read while the socket took none: the system reports
   * that the socket takes more only when a third of its buffer is free, and a slice leaves the
   * queue as a whole.
   */
  long unreportedBytes() {
    Integer socketBytes = channel.config().getOption(ChannelOption.SO_SNDBUF);
    return SLICE_BYTES + (socketBytes == null ? 0 : socketBytes / SOCKET_STEP_DIVISOR);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
    if (pending.isEmpty() && bytes <= SLICE_BYTES && ctx.channel().isWritable()) {
      passedBytes += bytes;
      ctx.write(message, promise);
    } else {
      pending.add(new Pending(message, promise));
      pendingBytes += bytes;
    }
  }

  @Override
  public void flush(ChannelHandlerContext ctx) {
    ctx.flush();
    pass(ctx);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    pass(ctx);
    ctx.fireChannelWritabilityChanged();
  }

  private void pass(ChannelHandlerContext ctx) {
    if (pending.isEmpty()) {
      return;
    }
    while (!pending.isEmpty() && ctx.channel().isWritable()) {
      passFirst(ctx);
      if (pending.isEmpty() || !ctx.channel().isWritable()) {
        ctx.flush();
      }
    }
    onChanged.run();
  }

  private void passFirst(ChannelHandlerContext ctx) {
    Pending first = pending.peek();
    if (first.message() instanceof ByteBuf buffer && buffer.readableBytes() > SLICE_BYTES) {
      passedBytes += SLICE_BYTES;
      pendingBytes -= SLICE_BYTES;
      ctx.write(buffer.readRetainedSlice(SLICE_BYTES));
    } else {
      int bytes = first.message() instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
      passedBytes += bytes;
      pendingBytes -= bytes;
      pending.poll();
      ctx.write(first.message(), first.promise());
    }
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    release();
    ctx.close(promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    release();
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    release();
  }

  private void release() {
    ClosedChannelException closed = new ClosedChannelException();
    pendingBytes = 0;
    for (Pending next = pending.poll(); next != null; next = pending.poll()) {
      ReferenceCountUtil.release(next.message());
      if (!next.promise().isVoid()) {
        next.promise().tryFailure(closed);
      }
    }
  }
}

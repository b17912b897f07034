package dev.agatepier.wire.connection.internal;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queue of outgoing frames, bounded in number and bytes. A frame counts from the offer until it is
 * written to the socket. Any thread may offer; the event loop of the channel writes.
 */
final class OutboundQueue {

  private final Channel channel;
  private final int maximumMessages;
  private final long maximumBytes;
  private final Queue<byte[]> frames = new ConcurrentLinkedQueue<>();
  private final AtomicInteger messages = new AtomicInteger();
  private final AtomicLong bytes = new AtomicLong();
  private final AtomicBoolean scheduled = new AtomicBoolean();

  OutboundQueue(Channel channel, int maximumMessages, long maximumBytes) {
    this.channel = channel;
    this.maximumMessages = maximumMessages;
    this.maximumBytes = maximumBytes;
  }

  /** Queues a frame; returns false if a bound is exceeded. */
  boolean offer(byte[] content) {
    int size = content.length + FrameDecoder.HEADER_BYTES;
    if (messages.incrementAndGet() > maximumMessages || bytes.addAndGet(size) > maximumBytes) {
      return false;
    }
    frames.add(content);
    if (scheduled.compareAndSet(false, true)) {
      channel.eventLoop().execute(this::write);
    }
    return true;
  }

  /** Runs the callback on the event loop after all frames offered before are written. */
  void onFlushed(Runnable callback) {
    channel
        .eventLoop()
        .execute(
            () -> {
              write();
              channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> callback.run());
            });
  }

  private void write() {
    scheduled.set(false);
    for (byte[] content = frames.poll(); content != null; content = frames.poll()) {
      int size = content.length + FrameDecoder.HEADER_BYTES;
      ByteBuf header = channel.alloc().buffer(FrameDecoder.HEADER_BYTES).writeInt(content.length);
      ByteBuf frame = Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(content));
      channel.write(frame).addListener(written -> release(size));
    }
    channel.flush();
  }

  private void release(int size) {
    messages.decrementAndGet();
    bytes.addAndGet(-size);
  }
}

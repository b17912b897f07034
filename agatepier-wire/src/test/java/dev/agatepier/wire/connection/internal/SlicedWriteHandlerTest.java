package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.annotations.Test;

public class SlicedWriteHandlerTest {

  private static final int RESPONSE_BYTES = 1_000_000;

  /** Guards against responses whose copies in direct memory wait for callers that do not read. */
  @Test
  public void holdsResponseBackWhileSocketTakesNothing() {
    SlicedWriteHandler handler = new SlicedWriteHandler(() -> {});
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, false);
    ByteBuf response = Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES]);
    ChannelFuture written = channel.writeAndFlush(response);
    assertEquals(handler.passedBytes(), 0);
    assertTrue(handler.waitingBytes() >= RESPONSE_BYTES);
    channel.unsafe().outboundBuffer().setUserDefinedWritability(1, true);
    channel.runPendingTasks();
    assertTrue(written.isSuccess());
    assertEquals(handler.waitingBytes(), 0);
    int passed = 0;
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      assertTrue(part.readableBytes() <= SlicedWriteHandler.SLICE_BYTES);
      passed += part.readableBytes();
      part.release();
    }
    assertEquals(passed, RESPONSE_BYTES);
  }
}

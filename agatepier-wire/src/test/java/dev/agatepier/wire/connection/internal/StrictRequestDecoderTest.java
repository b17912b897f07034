package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.wire.connection.internal.StrictRequestDecoder.Gate;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.annotations.Test;

public class StrictRequestDecoderTest {

  /** Counts the reads that handlers ask for. */
  private static final class ReadCounter extends ChannelOutboundHandlerAdapter {
    private int reads;

    @Override
    public void read(ChannelHandlerContext ctx) {
      reads++;
    }
  }

  /** Guards against pipelined requests that are read without bound while reading is paused. */
  @Test
  public void asksForNoReadWhileItKeepsBytes() {
    ReadCounter counter = new ReadCounter();
    StrictRequestDecoder decoder = new StrictRequestDecoder(1_024);
    EmbeddedChannel channel = new EmbeddedChannel(counter, decoder);
    channel.config().setAutoRead(false);
    decoder.setGate(Gate.CLOSED);
    counter.reads = 0;
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[100]));
    assertEquals(counter.reads, 0);
    channel.finishAndReleaseAll();
  }
}

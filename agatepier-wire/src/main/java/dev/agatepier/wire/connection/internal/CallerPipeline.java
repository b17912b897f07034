package dev.agatepier.wire.connection.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Configures the channel pipeline of a caller connection. */
public final class CallerPipeline {

  /** Bytes that wait in a socket's queue before further ones are held back. */
  public static final WriteBufferWaterMark WATER_MARK = SlicedWriteHandler.WATER_MARK;

  private CallerPipeline() {}

  /** Installs the decoder, the encoder and the connection on a new channel. */
  public static void install(Channel channel, CallerConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst("agatepier-arrival", new ReceivedBytesHandler(connection));
    pipeline.addAfter("agatepier-arrival", "agatepier-request-decoder", connection.decoder());
    pipeline.addFirst("agatepier-output", connection.output());
    pipeline.addAfter(
        "agatepier-request-decoder", "agatepier-response-encoder", new HttpResponseEncoder());
    pipeline.addAfter("agatepier-response-encoder", "agatepier-caller", connection);
  }

  /** Reports received bytes before the decoder buffers them, and what it has kept of them. */
  private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ReceivedBytesHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytesReceived(message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
      ctx.fireChannelRead(message);
      connection.onBytesDecoded();
    }
  }
}

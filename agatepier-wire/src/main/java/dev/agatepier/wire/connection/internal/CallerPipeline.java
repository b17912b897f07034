package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Configures the channel pipeline of a caller connection. */
public final class CallerPipeline {

  private CallerPipeline() {}

  /**
   * Installs the decoder, the encoder and the connection on a new channel.
   *
   * @param headerBytes maximum size of a request head, in bytes
   */
  public static void install(Channel channel, CallerConnection connection, int headerBytes) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst("agatepier-arrival", new ReceivedBytesHandler(connection));
    pipeline.addAfter(
        "agatepier-arrival", "agatepier-request-decoder", new StrictRequestDecoder(headerBytes));
    pipeline.addAfter(
        "agatepier-request-decoder", "agatepier-response-encoder", new HttpResponseEncoder());
    pipeline.addAfter("agatepier-response-encoder", "agatepier-caller", connection);
  }

  /** Reports received bytes before the decoder buffers them. */
  private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ReceivedBytesHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytesReceived();
      ctx.fireChannelRead(message);
    }
  }
}

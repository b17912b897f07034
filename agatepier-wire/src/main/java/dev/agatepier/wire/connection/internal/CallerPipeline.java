package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Sets up the handlers of a caller's connection. */
public final class CallerPipeline {

  private CallerPipeline() {}

  /**
   * Installs the handlers of a new connection.
   *
   * @param headerBytes most bytes of a request's head
   */
  public static void install(Channel channel, CallerConnection connection, int headerBytes) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst("agatepier-arrival", new ReceiveTimeHandler(connection));
    pipeline.addAfter(
        "agatepier-arrival", "agatepier-request-decoder", new StrictRequestDecoder(headerBytes));
    pipeline.addAfter(
        "agatepier-request-decoder", "agatepier-response-encoder", new HttpResponseEncoder());
    pipeline.addAfter("agatepier-response-encoder", "agatepier-caller", connection);
  }

  /** Notes when bytes come, before the decoder holds them back. */
  private static final class ReceiveTimeHandler extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    private ReceiveTimeHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
      connection.onBytesReceived();
      reading.fireChannelRead(message);
    }
  }
}

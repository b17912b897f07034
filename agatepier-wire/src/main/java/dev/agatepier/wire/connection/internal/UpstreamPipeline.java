package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;

/** Configures the channel pipeline of an upstream connection. */
final class UpstreamPipeline {

  /** Maximum size of a response head, in bytes. */
  private static final int HEADER_BYTES = 32_768;

  private UpstreamPipeline() {}

  static void install(Channel channel, UpstreamConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst(
        "agatepier-http",
        new HttpClientCodec(StrictRequestDecoder.strictConfiguration(HEADER_BYTES), false, false));
    pipeline.addAfter("agatepier-http", "agatepier-upstream", connection);
    pipeline.addFirst("agatepier-output", new SlicedWriteHandler(() -> {}));
  }
}

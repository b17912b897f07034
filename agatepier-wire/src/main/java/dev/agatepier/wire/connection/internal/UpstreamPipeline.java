package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** Configures the channel pipeline of an upstream connection. */
final class UpstreamPipeline {

  private UpstreamPipeline() {}

  static void install(Channel channel, UpstreamConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst("agatepier-requests", new HttpRequestEncoder());
    pipeline.addAfter("agatepier-requests", "agatepier-responses", connection.decoder());
    pipeline.addAfter("agatepier-responses", "agatepier-upstream", connection);
    pipeline.addFirst("agatepier-output", new SlicedWriteHandler(() -> {}));
  }
}

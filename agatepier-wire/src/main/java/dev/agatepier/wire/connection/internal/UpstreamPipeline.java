package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;

/** Configures the channel pipeline of an upstream connection. */
final class UpstreamPipeline {

  private UpstreamPipeline() {}

  static void install(Channel channel, UpstreamConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst("agatepier-http", new StrictClientCodec());
    pipeline.addAfter("agatepier-http", "agatepier-upstream", connection);
    pipeline.addFirst("agatepier-output", new SlicedWriteHandler(() -> {}));
  }
}

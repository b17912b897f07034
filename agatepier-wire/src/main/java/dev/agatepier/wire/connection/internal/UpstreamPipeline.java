package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;

/** Configures the channel pipeline of an upstream connection. */
final class UpstreamPipeline {

  private static final String HTTP = "agatepier-http";

  private UpstreamPipeline() {}

  static void install(Channel channel, UpstreamConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst(HTTP, new StrictClientCodec());
    pipeline.addAfter(HTTP, "agatepier-upstream", connection);
    pipeline.addFirst("agatepier-output", new SlicedWriteHandler(() -> {}));
  }

  /** Asks the upstream; the connection receives nothing until the query ends. */
  static void installQuery(Channel channel, IncarnationQuery query) {
    channel.pipeline().addAfter(HTTP, "agatepier-incarnation", query);
  }
}

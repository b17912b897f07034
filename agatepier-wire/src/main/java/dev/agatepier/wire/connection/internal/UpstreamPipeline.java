package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;

/** Sets up the handlers of a connection to an upstream. */
final class UpstreamPipeline {

  /** Most bytes of the head of an answer. */
  private static final int HEADER_BYTES = 32_768;

  private UpstreamPipeline() {}

  static void install(Channel channel, UpstreamConnection connection) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst(
        "agatepier-http",
        new HttpClientCodec(StrictRequestDecoder.configuration(HEADER_BYTES), false, false));
    pipeline.addAfter("agatepier-http", "agatepier-upstream", connection);
  }
}

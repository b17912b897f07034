package dev.agatepier.wire.connection.internal;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** HTTP codec of a connection to an upstream, with one request at a time. */
public final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {

  /** Maximum size of a response head, in bytes. */
  private static final int HEADER_BYTES = 32_768;

  /** Creates the codec of a connection. */
  public StrictClientCodec() {
    super(new StrictResponseDecoder(HEADER_BYTES), new HttpRequestEncoder());
  }

  /** Returns whether no byte was received behind the last response. */
  boolean isBetweenResponses() {
    return inboundHandler().isBetweenResponses();
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpRequest request) {
      inboundHandler().onRequest(request.method());
    }
    super.write(ctx, message, promise);
  }
}

package dev.agatepier.wire.connection.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Closes accepted connections for which there is no room, before anything is read from them. */
public final class ConnectionLimitHandler extends ChannelInboundHandlerAdapter {

  private final OpenConnections<?> connections;

  /** Creates the handler of a server socket with the connections that it has accepted. */
  public ConnectionLimitHandler(OpenConnections<?> connections) {
    this.connections = connections;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof Channel accepted
        && !connections.makeRoom(ConnectionMemory.addressOf(accepted))) {
      accepted.unsafe().closeForcibly();
    } else {
      ctx.fireChannelRead(message);
    }
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.process.OverloadMonitor;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Observes how a server socket accepts connections, and closes those that it accepts too late
 * without reading them. Their callers have given up or are about to; one that still waits learns at
 * once that its request was not read and can turn to another router.
 */
public final class AcceptQueueHandler extends ChannelInboundHandlerAdapter {

  private final OverloadMonitor overload;
  private final int maximumAccepts;
  private int accepted;

  /**
   * Creates the handler of one server socket.
   *
   * @param maximumAccepts number of connections that the socket accepts in one read; after fewer
   *     the accept queue is empty
   */
  public AcceptQueueHandler(OverloadMonitor overload, int maximumAccepts) {
    this.overload = overload;
    this.maximumAccepts = maximumAccepts;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    accepted++;
    if (overload.acceptsTooLate() && message instanceof Channel connection) {
      connection.unsafe().closeForcibly();
      overload.onConnectionClosedUnread();
    } else {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    overload.onAccepted(accepted < maximumAccepts);
    accepted = 0;
    ctx.fireChannelReadComplete();
  }
}

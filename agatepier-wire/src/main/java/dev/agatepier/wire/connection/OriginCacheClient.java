package dev.agatepier.wire.connection;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.wire.process.Endpoint;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.udp.UdpServer;

/**
 * Datagrams of a router to the origin caches beside upstreams, and their replies. Datagrams may be
 * lost: the router's decision does without the reply then.
 */
public final class OriginCacheClient implements ManagedService {

  private final Endpoint local;
  private final LoopResources eventLoops;
  private final OriginDatagramCodec codec;
  private final Consumer<RouterEvent> events;
  private final Counter sent;
  private final Counter received;
  private final Counter rejected;
  private volatile Connection connection;

  /**
   * Creates the client without opening a socket.
   *
   * @param local endpoint that replies are received at; its port is that of all origin caches
   * @param secret shared secret of the fleet
   * @param events receives the replies
   */
  public OriginCacheClient(
      Endpoint local,
      byte[] secret,
      LoopResources eventLoops,
      Consumer<RouterEvent> events,
      MetricRegistry metrics) {
    this.local = local;
    this.eventLoops = eventLoops;
    this.events = events;
    codec = new OriginDatagramCodec(secret);
    sent = metrics.counter("origin-caches.sent");
    received = metrics.counter("origin-caches.received");
    rejected = metrics.counter("origin-caches.rejected");
  }

  @Override
  public CompletableFuture<Void> start() {
    return UdpServer.create()
        .runOn(eventLoops)
        .host(local.address())
        .port(local.port())
        .doOnChannelInit(
            (observer, channel, remote) ->
                channel.pipeline().addFirst("agatepier-origins", new ReplyHandler()))
        .bind()
        .doOnNext(
            bound -> {
              bound.channel().config().setAutoRead(true);
              connection = bound;
            })
        .then()
        .toFuture();
  }

  @Override
  public CompletableFuture<Void> stop() {
    if (connection == null) {
      return CompletableFuture.completedFuture(null);
    }
    connection.dispose();
    return connection.onDispose().toFuture();
  }

  /** Sends the datagram of an effect. */
  public void perform(RouterEffect.SendToOriginCache effect) {
    if (connection == null) {
      return;
    }
    Channel channel = connection.channel();
    InetSocketAddress remote = new InetSocketAddress(effect.address(), local.port());
    channel
        .eventLoop()
        .execute(
            () -> {
              sent.inc();
              byte[] datagram = codec.encode(effect.message());
              channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), remote));
            });
  }

  /** Passes replies to the router's decision. */
  private final class ReplyHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      try {
        if (codec.decode(ByteBufUtil.getBytes(packet.content())) instanceof OriginReply reply) {
          received.inc();
          events.accept(
              new RouterEvent.OriginCacheReplied(
                  packet.sender().getAddress().getHostAddress(), reply));
        }
      } catch (CodecException malformed) {
        rejected.inc();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable failure) {
      // An error of one datagram, such as a cache that is unreachable, concerns no other.
      rejected.inc();
    }
  }
}

package dev.agatepier.wire.process;

import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.OriginCacheDecision;
import dev.agatepier.wire.connection.CodecException;
import dev.agatepier.wire.connection.OriginDatagramCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.CompletableFuture;

/**
 * Service of an origin cache, a process beside an upstream that remembers which software versions
 * began streams there. One thread owns the socket and the decision, and blocks while there is no
 * datagram: an event loop would take a multiple of the memory.
 */
public final class OriginCacheService implements ManagedService {

  private final Endpoint listen;
  private final OriginDatagramCodec codec;
  private final OriginCacheDecision decision = new OriginCacheDecision();
  private final CompletableFuture<Counts> ended = new CompletableFuture<>();
  private DatagramChannel channel;
  private long received;
  private long rejected;

  /**
   * What a cache has done.
   *
   * @param streams streams that it remembers
   * @param received datagrams received
   * @param rejected those that were malformed or not authentic
   */
  public record Counts(int streams, long received, long rejected) {}

  /**
   * Creates the service without opening a socket.
   *
   * @param listen endpoint that receives the datagrams of routers
   * @param secret shared secret of the fleet
   */
  public OriginCacheService(Endpoint listen, byte[] secret) {
    this.listen = listen;
    codec = new OriginDatagramCodec(secret);
  }

  @Override
  public CompletableFuture<Void> start() {
    try {
      channel = DatagramChannel.open(StandardProtocolFamily.INET);
      channel.bind(new InetSocketAddress(listen.address(), listen.port()));
    } catch (IOException failure) {
      return CompletableFuture.failedFuture(
          new ListenerException("cannot receive datagrams at " + listen, failure));
    }
    Thread.ofPlatform().name("origin-cache").daemon().start(this::receiveUntilClosed);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    try {
      channel.close();
    } catch (IOException failure) {
      return CompletableFuture.failedFuture(failure);
    }
    return ended.thenApply(counts -> null);
  }

  /** Returns what the cache has done; blocks until it has stopped. */
  public Counts counts() {
    return ended.join();
  }

  /** Returns the port that datagrams are received at, while the service runs. */
  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  private void receiveUntilClosed() {
    ByteBuffer buffer = ByteBuffer.allocate(OriginDatagramCodec.MAXIMUM_BYTES);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        SocketAddress sender = channel.receive(buffer);
        buffer.flip();
        byte[] datagram = new byte[buffer.remaining()];
        buffer.get(datagram);
        handle(datagram, sender);
      } catch (ClosedChannelException closed) {
        break;
      } catch (IOException failure) {
        // An error of one datagram, such as a sender that is unreachable, concerns no other.
        rejected++;
      }
    }
    ended.complete(new Counts(decision.size(), received, rejected));
  }

  private void handle(byte[] datagram, SocketAddress sender) throws IOException {
    received++;
    StreamMessage message;
    try {
      message = codec.decode(datagram);
    } catch (CodecException malformed) {
      rejected++;
      return;
    }
    for (StreamMessage reply : decision.decide(message, System.nanoTime())) {
      channel.send(ByteBuffer.wrap(codec.encode(reply)), sender);
    }
  }
}

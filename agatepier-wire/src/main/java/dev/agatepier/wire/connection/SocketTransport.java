package dev.agatepier.wire.connection;

import io.netty.channel.socket.SocketChannel;
import java.util.Locale;
import java.util.Objects;
import reactor.netty.resources.LoopResources;

/**
 * The socket implementation of event loops: a native one where the machine has it, otherwise NIO.
 *
 * @param name name for logs, such as {@code epoll} or {@code nio}
 */
public record SocketTransport(String name) {

  private static final String NIO = "nio";

  /** Rejects a null name. */
  public SocketTransport {
    Objects.requireNonNull(name, "name");
  }

  /** Returns the transport of event loops. */
  public static SocketTransport of(LoopResources eventLoops) {
    Class<? extends SocketChannel> channel =
        eventLoops.onChannelClass(
            SocketChannel.class, eventLoops.onServer(LoopResources.DEFAULT_NATIVE));
    String suffix = SocketChannel.class.getSimpleName();
    return new SocketTransport(
        channel.getSimpleName().replace(suffix, "").toLowerCase(Locale.ROOT));
  }

  /** Returns whether this is NIO, which reports the end of a connection only when it is read. */
  public boolean isNio() {
    return name.equals(NIO);
  }
}

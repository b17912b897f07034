package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.internal.LinkContext;
import dev.agatepier.wire.connection.internal.LinkDirectory;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/**
 * Creates the listeners and dialers of one process. Only one of two processes should dial the
 * other, because a second link from the same instance replaces the first.
 */
public final class LinkNetwork {

  private final LinkContext context;

  /**
   * Creates a network without links; listeners and dialers open them when started.
   *
   * @param self identity that this process presents to its peers
   * @param secret shared secret of the fleet; the handshake proves its knowledge
   * @param settings limits and timeouts of every link
   * @param heartbeat supplies the next heartbeat; called on event loops
   * @param eventHandler receives the events of every link
   * @param clock monotonic clock of the process
   * @param eventLoops event loops of the sockets
   * @param scheduler runs the tasks that open and register links
   */
  public LinkNetwork(
      PeerIdentity self,
      Bytes secret,
      LinkSettings settings,
      Supplier<Heartbeat> heartbeat,
      LinkEventHandler eventHandler,
      MonotonicClock clock,
      LoopResources eventLoops,
      Scheduler scheduler) {
    LinkDirectory directory =
        new LinkDirectory(eventHandler, settings.heartbeatMillis(), scheduler);
    context =
        new LinkContext(
            self,
            secret,
            settings,
            heartbeat,
            clock,
            new MessagePackCodec(),
            directory,
            eventLoops,
            scheduler);
  }

  /** Returns a service that accepts links; port 0 lets the operating system choose a port. */
  public LinkListener listener(String address, int port) {
    return new LinkListener(context, address, port);
  }

  /** Returns a service that maintains a link to an address. */
  public LinkDialer dialer(String address, int port) {
    return dialer(address, port, () -> true);
  }

  /**
   * Returns a service that maintains a link to an address while the link is needed.
   *
   * @param needed returns false while another link to the same process exists; called before each
   *     connection attempt
   */
  public LinkDialer dialer(String address, int port, BooleanSupplier needed) {
    return new LinkDialer(context, address, port, needed);
  }
}

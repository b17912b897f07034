package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.internal.LinkContext;
import dev.agatepier.wire.connection.internal.LinkDirectory;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * All links of one process. Of two processes only one may dial the other: a second link from the
 * same instance replaces the first.
 */
public final class LinkNetwork {

  private final LinkContext context;

  /**
   * Creates the network; nothing is opened yet.
   *
   * @param self identity that peers are told
   * @param secret the fleet's shared secret
   * @param settings settings of links
   * @param heartbeat contents of the next heartbeat; called on event loops
   * @param events told of everything
   * @param clock the process's monotonic clock
   */
  public LinkNetwork(
      PeerIdentity self,
      Bytes secret,
      LinkSettings settings,
      Supplier<Heartbeat> heartbeat,
      LinkEventHandler events,
      MonotonicClock clock) {
    LinkDirectory directory = new LinkDirectory(events);
    context =
        new LinkContext(
            self, secret, settings, heartbeat, clock, new MessagePackCodec(), directory);
  }

  /** Returns a service that accepts links; port 0 asks the system for a free one. */
  public LinkListener listener(String address, int port) {
    return new LinkListener(context, address, port);
  }

  /** Returns a service that keeps one link to an address. */
  public LinkDialer dialer(String address, int port) {
    return dialer(address, port, () -> true);
  }

  /**
   * Returns a service that keeps one link to an address while it is needed.
   *
   * @param needed whether there is no other link to the same process; asked before each connection
   */
  public LinkDialer dialer(String address, int port, BooleanSupplier needed) {
    return new LinkDialer(context, address, port, needed);
  }
}

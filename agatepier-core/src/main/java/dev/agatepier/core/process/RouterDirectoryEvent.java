package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** Events of the router directory. */
public sealed interface RouterDirectoryEvent {

  /**
   * A link to another router was established.
   *
   * @param peer the other router
   */
  record PeerConnected(PeerIdentity peer) implements RouterDirectoryEvent {}

  /**
   * The link to another router was closed.
   *
   * @param peer the other router
   */
  record PeerDisconnected(PeerIdentity peer) implements RouterDirectoryEvent {}

  /**
   * Another router reported the routers that it can reach.
   *
   * @param sender instance name of the reporting router
   * @param routers the routers that it can reach, including itself
   */
  record RoutersReported(String sender, List<Instance> routers) implements RouterDirectoryEvent {
    /** Copies the routers. */
    public RoutersReported {
      routers = List.copyOf(routers);
    }
  }

  /** The periodic timer has expired. */
  record Tick() implements RouterDirectoryEvent {}
}

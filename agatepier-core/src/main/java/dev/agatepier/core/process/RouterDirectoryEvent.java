package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** Everything that a router directory is told. */
public sealed interface RouterDirectoryEvent {

  /**
   * A link to another router is up.
   *
   * @param peer the other router
   */
  record PeerConnected(PeerIdentity peer) implements RouterDirectoryEvent {}

  /**
   * A link to another router is gone.
   *
   * @param peer the other router
   */
  record PeerDisconnected(PeerIdentity peer) implements RouterDirectoryEvent {}

  /**
   * Another router said whom it reaches.
   *
   * @param sender instance name of the other router
   * @param routers the routers that it reaches, itself among them
   */
  record RoutersReported(String sender, List<Instance> routers) implements RouterDirectoryEvent {
    /** Copies the routers. */
    public RoutersReported {
      routers = List.copyOf(routers);
    }
  }

  /** Time has passed. */
  record TimePassed() implements RouterDirectoryEvent {}
}

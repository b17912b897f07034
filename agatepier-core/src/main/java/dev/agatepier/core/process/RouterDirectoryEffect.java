package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** Everything that a router directory asks for. */
public sealed interface RouterDirectoryEffect {

  /**
   * Send a message to a linked router.
   *
   * @param instance instance name of the router
   * @param message the message
   */
  record Send(String instance, KnownRouters message) implements RouterDirectoryEffect {}

  /**
   * The routers that are known from now on.
   *
   * @param routers routers to be linked to; the own one is not among them
   */
  record Publish(List<Instance> routers) implements RouterDirectoryEffect {
    /** Copies the routers. */
    public Publish {
      routers = List.copyOf(routers);
    }
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** Effects of the router directory. */
public sealed interface RouterDirectoryEffect {

  /**
   * Send a message to a connected router.
   *
   * @param instance instance name of the router
   * @param message the message
   */
  record Send(String instance, KnownRouters message) implements RouterDirectoryEffect {}

  /**
   * Replace the list of known routers.
   *
   * @param routers the known routers, without the router itself
   */
  record Publish(List<Instance> routers) implements RouterDirectoryEffect {
    /** Copies the routers. */
    public Publish {
      routers = List.copyOf(routers);
    }
  }
}

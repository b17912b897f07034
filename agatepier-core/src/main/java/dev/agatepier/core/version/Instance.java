package dev.agatepier.core.version;

import dev.agatepier.core.connection.Role;
import java.util.Objects;

/**
 * An instance in the platform's list.
 *
 * @param name name of the instance
 * @param role role of its process
 * @param address IP address on which its process listens for links
 * @param port TCP port on which its process listens for links
 * @param administrationPort TCP port of its administration API
 * @param dataCentre data centre of the instance
 * @param region region of that data centre
 * @param service service of a sidecar; empty for a router
 * @param leaving whether the platform is about to remove it
 */
public record Instance(
    String name,
    Role role,
    String address,
    int port,
    int administrationPort,
    String dataCentre,
    String region,
    String service,
    boolean leaving) {

  /** Rejects null names. */
  public Instance {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(service, "service");
  }
}

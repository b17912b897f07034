package dev.agatepier.core.version;

import dev.agatepier.core.connection.Role;
import java.util.Objects;

/**
 * One instance of the platform's list.
 *
 * @param name name of the instance
 * @param role what its process does
 * @param address IP number its process listens on for links
 * @param port TCP port for links
 * @param administrationPort TCP port of its administration API
 * @param dataCentre data centre of the instance
 * @param region region of that data centre
 * @param service service of a sidecar; empty for a router
 * @param leaving whether the platform is about to take it away
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

  /** Checks that every name is present. */
  public Instance {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(service, "service");
  }
}

package dev.agatepier.core.version;

import java.util.Objects;

/**
 * One upstream of the platform's list.
 *
 * @param name name that the upstream gives itself
 * @param incarnation rises with each start of an upstream under that name; 0 if it does not tell
 * @param service service it serves
 * @param address IP number it listens on
 * @param port TCP port it listens on
 * @param dataCentre data centre it runs in
 * @param slots requests that it runs at one time
 * @param leaving whether it takes no new work
 */
public record Upstream(
    String name,
    long incarnation,
    String service,
    String address,
    int port,
    String dataCentre,
    int slots,
    boolean leaving) {

  /** Checks that every name is present and the numbers are in range. */
  public Upstream {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
    if (port < 1 || port > 65_535 || slots < 1) {
      throw new IllegalArgumentException("port " + port + " or slots " + slots + " out of range");
    }
  }
}

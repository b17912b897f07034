package dev.agatepier.core.version;

import java.util.Objects;

/**
 * An upstream in the platform's list.
 *
 * @param name name under which the upstream registers itself
 * @param incarnation number that increases with each start of an upstream under that name; 0 if the
 *     upstream does not report one
 * @param service service that it serves
 * @param address IP address on which it listens
 * @param port TCP port on which it listens
 * @param dataCentre data centre in which it runs
 * @param slots maximum number of requests that it runs concurrently
 * @param leaving whether it is leaving and accepts no new work
 * @param cold whether it reports that part of its warm-up remains
 * @param softwareVersion version of the software that it runs; empty if unknown
 */
public record Upstream(
    String name,
    long incarnation,
    String service,
    String address,
    int port,
    String dataCentre,
    int slots,
    boolean leaving,
    boolean cold,
    String softwareVersion) {

  /** Creates an upstream whose software version is unknown. */
  public Upstream(
      String name,
      long incarnation,
      String service,
      String address,
      int port,
      String dataCentre,
      int slots,
      boolean leaving,
      boolean cold) {
    this(name, incarnation, service, address, port, dataCentre, slots, leaving, cold, "");
  }

  /** Creates an upstream that is not cold and whose software version is unknown. */
  public Upstream(
      String name,
      long incarnation,
      String service,
      String address,
      int port,
      String dataCentre,
      int slots,
      boolean leaving) {
    this(name, incarnation, service, address, port, dataCentre, slots, leaving, false);
  }

  /** Rejects null names and numbers out of range. */
  public Upstream {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(softwareVersion, "softwareVersion");
    if (port < 1 || port > 65_535 || slots < 1) {
      throw new IllegalArgumentException(
          "port " + port + " is not between 1 and 65535 or slots " + slots + " is below 1");
    }
  }
}

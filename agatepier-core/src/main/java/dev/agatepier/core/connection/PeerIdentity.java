package dev.agatepier.core.connection;

import java.util.Objects;

/**
 * Identity of a process at one end of a link.
 *
 * @param instance name of the instance in the platform's list
 * @param incarnation number that differs for each start of a process under that name
 * @param role role of the process
 * @param dataCentre data centre in which the process runs
 * @param region region of that data centre
 * @param service service of a sidecar; empty for a router
 * @param capacity processor capacity of the instance, in thousandths of a core; 0 if unknown
 */
public record PeerIdentity(
    String instance,
    long incarnation,
    Role role,
    String dataCentre,
    String region,
    String service,
    int capacity) {

  /** Creates the identity of a process on an instance of unknown capacity. */
  public PeerIdentity(
      String instance,
      long incarnation,
      Role role,
      String dataCentre,
      String region,
      String service) {
    this(instance, incarnation, role, dataCentre, region, service, 0);
  }

  /** Rejects null names. */
  public PeerIdentity {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(service, "service");
  }
}

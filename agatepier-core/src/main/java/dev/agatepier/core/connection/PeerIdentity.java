package dev.agatepier.core.connection;

import java.util.Objects;

/**
 * Who is at the other end of a link.
 *
 * @param instance name of the instance, as the platform lists it
 * @param incarnation number that differs each time a process starts under that name
 * @param role what the process does
 * @param dataCentre data centre the process runs in
 * @param region region of that data centre
 * @param service service a sidecar serves; empty for a router
 */
public record PeerIdentity(
    String instance,
    long incarnation,
    Role role,
    String dataCentre,
    String region,
    String service) {

  /** Checks that every name is present. */
  public PeerIdentity {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(service, "service");
  }
}

package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Names the only sidecar process that may run a non-idempotent request, so that resends through any
 * router reach the process that remembers the first try.
 *
 * @param workspace workspace the ticket was issued to
 * @param service service it is good for
 * @param sidecar instance name of the sidecar that alone may run the request
 * @param incarnation incarnation of that sidecar's process
 * @param issuedMillis that sidecar's own monotonic clock at the time of issue, in milliseconds
 * @param request the request that obtained the ticket; makes it unique
 */
public record Ticket(
    String workspace,
    String service,
    String sidecar,
    long incarnation,
    long issuedMillis,
    RequestId request) {

  /** Checks that every name is present. */
  public Ticket {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(sidecar, "sidecar");
    Objects.requireNonNull(request, "request");
  }
}

package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Identifies the only sidecar process that may run a non-idempotent request, so that resends
 * through any router reach the process that remembers the first attempt.
 *
 * @param workspace workspace the ticket was issued to
 * @param service service that it is valid for
 * @param sidecar instance name of the only sidecar that may run the request
 * @param incarnation incarnation of that sidecar's process
 * @param issuedMillis time of issue by the sidecar's own monotonic clock, in milliseconds
 * @param request the request that obtained the ticket; makes the ticket unique
 */
public record Ticket(
    String workspace,
    String service,
    String sidecar,
    long incarnation,
    long issuedMillis,
    RequestId request) {

  /** Rejects null names. */
  public Ticket {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(sidecar, "sidecar");
    Objects.requireNonNull(request, "request");
  }
}

package dev.agatepier.wire.process;

import java.util.List;

/**
 * Response body of {@code GET /v1/status}.
 *
 * @param instance name of the instance
 * @param role {@code router} or {@code sidecar}
 * @param dataCentre data centre of the instance
 * @param region region of that data centre
 * @param service service of a sidecar; empty for a router
 * @param incarnation incarnation of the process in hexadecimal
 * @param tableVersion version of the active table; 0 for none
 * @param instancesVersion version of the active instance list; 0 for none
 * @param draining whether the process accepts no new work
 * @param links names of the connected peers
 * @param snapshot snapshot of the decision of the process
 */
public record ProcessStatus(
    String instance,
    String role,
    String dataCentre,
    String region,
    String service,
    String incarnation,
    long tableVersion,
    long instancesVersion,
    boolean draining,
    List<String> links,
    Object snapshot) {

  /** Copies the list of links. */
  public ProcessStatus {
    links = List.copyOf(links);
  }
}

package dev.agatepier.wire.process;

import java.util.List;

/**
 * Answer of {@code GET /v1/status}.
 *
 * @param instance name of the instance
 * @param role {@code router} or {@code sidecar}
 * @param dataCentre its data centre
 * @param region region of that data centre
 * @param service service of a sidecar; empty for a router
 * @param incarnation incarnation of the process, hexadecimal
 * @param tableVersion table version in force; 0 for none
 * @param instancesVersion instance list version in force; 0 for none
 * @param draining whether it takes no new work
 * @param links names of the linked peers
 * @param snapshot snapshot of the process's decision
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

  /** Copies the links. */
  public ProcessStatus {
    links = List.copyOf(links);
  }
}

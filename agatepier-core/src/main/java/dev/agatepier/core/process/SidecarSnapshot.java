package dev.agatepier.core.process;

import java.util.List;

/**
 * What a sidecar tells operators about itself.
 *
 * @param service service it serves
 * @param healthy whether its upstream takes requests
 * @param draining whether it grants nothing more
 * @param slots slots it offers at present
 * @param running attempts running
 * @param granted grants not yet answered
 * @param tokenGapMillis moving average of the time between two tokens of a stream, in milliseconds;
 *     0 before the first
 * @param holder router that sums its costs; empty for none
 * @param shares fair share of each workspace known here
 */
public record SidecarSnapshot(
    String service,
    boolean healthy,
    boolean draining,
    int slots,
    int running,
    int granted,
    double tokenGapMillis,
    String holder,
    List<ShareStatus> shares) {

  /** Copies the shares. */
  public SidecarSnapshot {
    shares = List.copyOf(shares);
  }

  /**
   * What one workspace has received, as seen by this sidecar.
   *
   * @param workspace the workspace
   * @param weight its weight
   * @param waiting requests waiting at all routers linked
   * @param running attempts running here
   * @param localCost cost received here in this incarnation, in cost units
   * @param fleetCost cost received elsewhere since this incarnation began, in cost units
   * @param virtualService value that the fair order compares
   */
  public record ShareStatus(
      String workspace,
      double weight,
      int waiting,
      int running,
      double localCost,
      double fleetCost,
      double virtualService) {}
}

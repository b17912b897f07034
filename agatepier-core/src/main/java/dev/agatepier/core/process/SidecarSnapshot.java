package dev.agatepier.core.process;

import java.util.List;

/**
 * State of a sidecar, as operators see it.
 *
 * @param service the service of its upstream
 * @param healthy whether its upstream accepts requests
 * @param draining whether it is draining and grants no more slots
 * @param slots current number of slots
 * @param running number of running attempts
 * @param granted number of grants that no router has replied to yet
 * @param tokenGapMillis moving average of the time between two tokens of a stream, in milliseconds;
 *     0 before the first measurement
 * @param holder instance name of the router with its cost aggregator; empty if there is none
 * @param shares fair share of each workspace known to the sidecar
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
   * Service that one workspace has received, as known to this sidecar.
   *
   * @param workspace the workspace
   * @param weight its weight
   * @param waiting number of requests waiting at all connected routers
   * @param running number of attempts running at this sidecar
   * @param localCost cost incurred at this sidecar in its current incarnation, in cost units
   * @param fleetCost cost incurred elsewhere since the start of this incarnation, in cost units
   * @param virtualService virtual service, by which the fair-queueing order compares workspaces
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

package dev.agatepier.wire.process;

import java.util.List;

/**
 * Answer of {@code GET /v1/workspaces}.
 *
 * @param workspaces one entry for each workspace and service in use
 */
public record WorkspacesStatus(List<WorkspaceStatus> workspaces) {

  /** Copies the entries. */
  public WorkspacesStatus {
    workspaces = List.copyOf(workspaces);
  }

  /**
   * What one workspace has at one service through one process.
   *
   * @param workspace the workspace
   * @param service the service
   * @param waiting requests waiting
   * @param running requests running
   * @param cost cost received, in cost units; 0 at a router
   * @param waitMillis histogram of waits, in milliseconds
   */
  public record WorkspaceStatus(
      String workspace,
      String service,
      int waiting,
      int running,
      double cost,
      Percentiles waitMillis) {}

  /**
   * Percentiles of a histogram.
   *
   * @param count values recorded
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   */
  public record Percentiles(long count, double p50, double p95, double p99) {}
}

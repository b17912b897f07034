package dev.agatepier.wire.process;

import dev.agatepier.core.version.Limits;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Response body of {@code GET /v1/workspaces}.
 *
 * @param workspaces one entry per pair of workspace and service that the process has seen
 */
public record WorkspacesStatus(List<WorkspaceStatus> workspaces) {

  /** Copies the list of entries. */
  public WorkspacesStatus {
    workspaces = List.copyOf(workspaces);
  }

  /**
   * Usage of a service by a workspace, as seen by one process.
   *
   * @param workspace the workspace
   * @param service the service
   * @param weight weight in the active table; 1 if the table does not contain the workspace
   * @param limits limits in the active table; null if the table does not contain the workspace
   * @param waiting number of waiting requests; 0 at a sidecar
   * @param running number of running requests; 0 at a sidecar
   * @param cost cost received, in cost units; 0 at a router
   * @param completed number of completed requests; 0 at a sidecar
   * @param reasons number of rejected or failed requests by reason; empty at a sidecar
   * @param waitMillis percentiles of the waiting time, in milliseconds
   */
  public record WorkspaceStatus(
      String workspace,
      String service,
      double weight,
      Limits limits,
      int waiting,
      int running,
      double cost,
      long completed,
      SortedMap<String, Long> reasons,
      Percentiles waitMillis) {

    /** Copies the map of reasons. */
    public WorkspaceStatus {
      reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
    }
  }

  /**
   * Percentiles of a histogram.
   *
   * @param count number of recorded values
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   */
  public record Percentiles(long count, double p50, double p95, double p99) {

    /** Percentiles of an empty histogram. */
    public static final Percentiles NONE = new Percentiles(0, 0, 0, 0);
  }
}

package dev.agatepier.wire.process;

import dev.agatepier.core.version.Limits;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Answer of {@code GET /v1/workspaces}.
 *
 * @param workspaces one entry for each workspace and service seen by the process
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
   * @param weight weight in the table in force; 1 if the table does not have the workspace
   * @param limits limits in the table in force; null if the table does not have the workspace
   * @param waiting requests waiting; 0 at a sidecar
   * @param running requests running; 0 at a sidecar
   * @param cost cost received, in cost units; 0 at a router
   * @param completed requests answered whole; 0 at a sidecar
   * @param reasons requests refused or failed, by reason; empty at a sidecar
   * @param waitMillis histogram of waits, in milliseconds
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

    /** Copies the reasons. */
    public WorkspaceStatus {
      reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
    }
  }

  /**
   * Percentiles of a histogram.
   *
   * @param count values recorded
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   */
  public record Percentiles(long count, double p50, double p95, double p99) {

    /** Of a histogram that holds nothing. */
    public static final Percentiles NONE = new Percentiles(0, 0, 0, 0);
  }
}

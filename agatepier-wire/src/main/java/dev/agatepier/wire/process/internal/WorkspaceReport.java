package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RouterSnapshot;
import dev.agatepier.core.process.SidecarSnapshot;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.process.WorkspacesStatus;
import dev.agatepier.wire.process.WorkspacesStatus.Percentiles;
import dev.agatepier.wire.process.WorkspacesStatus.WorkspaceStatus;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Builds the response bodies of {@code GET /v1/workspaces}. Routers report waiting, running and
 * ended requests, sidecars report their cost, so that a sum over the fleet counts each value once.
 */
final class WorkspaceReport {

  private WorkspaceReport() {}

  /** Returns the report of a router: its requests in progress and those that have ended. */
  static WorkspacesStatus ofRouter(RouterSnapshot snapshot, WorkspaceMetrics metrics, Table table) {
    Map<WorkspaceMetrics.Pair, RouterSnapshot.QueueStatus> rows = new LinkedHashMap<>();
    for (WorkspaceMetrics.Pair pair : metrics.pairs()) {
      rows.put(pair, new RouterSnapshot.QueueStatus(pair.workspace(), pair.service(), 0, 0, 0));
    }
    for (RouterSnapshot.QueueStatus queue : snapshot.queues()) {
      rows.put(new WorkspaceMetrics.Pair(queue.workspace(), queue.service()), queue);
    }
    return new WorkspacesStatus(
        rows.entrySet().stream()
            .map(
                row ->
                    new WorkspaceStatus(
                        row.getKey().workspace(),
                        row.getKey().service(),
                        table.weight(row.getKey().workspace()),
                        limits(table, row.getKey().workspace()),
                        row.getValue().waiting(),
                        row.getValue().running(),
                        0,
                        metrics.completed(row.getKey()),
                        metrics.reasons(row.getKey()),
                        metrics.waitPercentiles(row.getKey())))
            .toList());
  }

  /** Returns the report of a sidecar: the costs of its workspaces. */
  static WorkspacesStatus ofSidecar(SidecarSnapshot snapshot, Table table) {
    return new WorkspacesStatus(
        snapshot.shares().stream()
            .map(
                share ->
                    new WorkspaceStatus(
                        share.workspace(),
                        snapshot.service(),
                        table.weight(share.workspace()),
                        limits(table, share.workspace()),
                        0,
                        0,
                        share.localCost(),
                        0,
                        new TreeMap<>(),
                        Percentiles.NONE))
            .toList());
  }

  /** Returns the limits of a workspace; null if the table does not contain it. */
  private static Limits limits(Table table, String workspace) {
    return table.workspace(workspace).map(Workspace::limits).orElse(null);
  }
}

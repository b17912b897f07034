package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Usage of a service by a workspace, summed over the processes called.
 *
 * @param workspace the workspace
 * @param service the service
 * @param weight weight of the workspace in a process's table
 * @param maximumWaiting limit of waiting requests at one router; -1 if no table has the workspace
 * @param maximumRunning limit of running requests of one router; -1 if no table has the workspace
 * @param maximumCostPerMinute limit of the cost that one router starts per minute; 0 for no limit,
 *     -1 if no table has the workspace
 * @param waiting number of waiting requests
 * @param running number of running requests
 * @param cost cost of the service received since the sidecars started, in cost units
 * @param completed number of requests with a complete response since the routers started
 * @param reasons number of rejected and failed requests since the routers started, by reason
 * @param p50 highest median wait of any router, in milliseconds
 * @param p95 highest 95th percentile of the wait of any router, in milliseconds
 * @param p99 highest 99th percentile of the wait of any router, in milliseconds
 */
record WorkspaceUsage(
    String workspace,
    String service,
    double weight,
    int maximumWaiting,
    int maximumRunning,
    double maximumCostPerMinute,
    int waiting,
    int running,
    double cost,
    long completed,
    SortedMap<String, Long> reasons,
    double p50,
    double p95,
    double p99) {

  private static final int UNKNOWN_LIMIT = -1;

  /** Makes an unmodifiable copy of the reasons. */
  WorkspaceUsage {
    reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
  }

  /** Decodes the entry of one process. */
  static WorkspaceUsage of(JsonNode entry) {
    SortedMap<String, Long> reasons = new TreeMap<>();
    entry
        .path("reasons")
        .properties()
        .forEach(reason -> reasons.put(reason.getKey(), reason.getValue().asLong()));
    JsonNode limits = entry.path("limits");
    JsonNode wait = entry.path("waitMillis");
    return new WorkspaceUsage(
        entry.path("workspace").asText(),
        entry.path("service").asText(),
        entry.path("weight").asDouble(),
        limits.path("waiting").asInt(UNKNOWN_LIMIT),
        limits.path("running").asInt(UNKNOWN_LIMIT),
        limits.path("costPerMinute").asDouble(UNKNOWN_LIMIT),
        entry.path("waiting").asInt(),
        entry.path("running").asInt(),
        entry.path("cost").asDouble(),
        entry.path("completed").asLong(),
        reasons,
        wait.path("p50").asDouble(),
        wait.path("p95").asDouble(),
        wait.path("p99").asDouble());
  }

  /** Returns the sum of this usage and that of another process. */
  WorkspaceUsage plus(WorkspaceUsage other) {
    SortedMap<String, Long> sums = new TreeMap<>(reasons);
    other.reasons.forEach((reason, count) -> sums.merge(reason, count, Long::sum));
    WorkspaceUsage limitSource = maximumWaiting >= 0 ? this : other;
    return new WorkspaceUsage(
        workspace,
        service,
        limitSource.weight,
        limitSource.maximumWaiting,
        limitSource.maximumRunning,
        limitSource.maximumCostPerMinute,
        waiting + other.waiting,
        running + other.running,
        cost + other.cost,
        completed + other.completed,
        sums,
        Math.max(p50, other.p50),
        Math.max(p95, other.p95),
        Math.max(p99, other.p99));
  }

  /** Returns the number of rejected and failed requests. */
  long notCompleted() {
    return reasons.values().stream().mapToLong(Long::longValue).sum();
  }
}

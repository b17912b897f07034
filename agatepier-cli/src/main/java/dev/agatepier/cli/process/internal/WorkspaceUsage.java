package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Sums of one workspace at one service over the processes asked.
 *
 * @param workspace the workspace
 * @param service the service
 * @param weight weight in the newest table that a process has
 * @param maximumWaiting requests that may wait at one router; -1 if no table has the workspace
 * @param maximumRunning requests that may run through one router; -1 if no table has the workspace
 * @param maximumCostPerMinute cost that may be started in a minute through one router; 0 for no
 *     limit, -1 if no table has the workspace
 * @param waiting requests waiting
 * @param running requests running
 * @param cost cost received since the sidecars began, in cost units
 * @param completed requests answered whole since the routers began
 * @param reasons requests refused or failed since the routers began, by reason
 * @param p50 highest median of any router's waits, in milliseconds
 * @param p95 highest 95th percentile of any router's waits, in milliseconds
 * @param p99 highest 99th percentile of any router's waits, in milliseconds
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

  private static final int NO_LIMIT_KNOWN = -1;

  /** Copies the reasons. */
  WorkspaceUsage {
    reasons = Collections.unmodifiableSortedMap(new TreeMap<>(reasons));
  }

  /** Reads what one process told. */
  static WorkspaceUsage of(JsonNode entry) {
    SortedMap<String, Long> reasons = new TreeMap<>();
    entry
        .path("reasons")
        .properties()
        .forEach(it -> reasons.put(it.getKey(), it.getValue().asLong()));
    JsonNode limits = entry.path("limits");
    JsonNode wait = entry.path("waitMillis");
    return new WorkspaceUsage(
        entry.path("workspace").asText(),
        entry.path("service").asText(),
        entry.path("weight").asDouble(),
        limits.path("waiting").asInt(NO_LIMIT_KNOWN),
        limits.path("running").asInt(NO_LIMIT_KNOWN),
        limits.path("costPerMinute").asDouble(NO_LIMIT_KNOWN),
        entry.path("waiting").asInt(),
        entry.path("running").asInt(),
        entry.path("cost").asDouble(),
        entry.path("completed").asLong(),
        reasons,
        wait.path("p50").asDouble(),
        wait.path("p95").asDouble(),
        wait.path("p99").asDouble());
  }

  /** Adds what another process told. */
  WorkspaceUsage plus(WorkspaceUsage other) {
    SortedMap<String, Long> sums = new TreeMap<>(reasons);
    other.reasons.forEach((reason, count) -> sums.merge(reason, count, Long::sum));
    WorkspaceUsage limited = maximumWaiting >= 0 ? this : other;
    return new WorkspaceUsage(
        workspace,
        service,
        limited.weight,
        limited.maximumWaiting,
        limited.maximumRunning,
        limited.maximumCostPerMinute,
        waiting + other.waiting,
        running + other.running,
        cost + other.cost,
        completed + other.completed,
        sums,
        Math.max(p50, other.p50),
        Math.max(p95, other.p95),
        Math.max(p99, other.p99));
  }

  /** Returns how many requests were refused or failed. */
  long notCompleted() {
    return reasons.values().stream().mapToLong(Long::longValue).sum();
  }
}

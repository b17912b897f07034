package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Cost that each workspace received from one service, summed over all sidecar incarnations that
 * were sampled: the last status of an incarnation still counts after the sidecar has stopped.
 */
final class ReceivedCosts {

  private final Map<String, Map<String, Double>> byIncarnation = new HashMap<>();
  private final Map<String, Double> weights = new HashMap<>();

  /** Updates the costs of one sidecar incarnation from its status. */
  void update(JsonNode status) {
    String incarnation =
        status.path("instance").asText() + "/" + status.path("incarnation").asText();
    Map<String, Double> costs = byIncarnation.computeIfAbsent(incarnation, key -> new HashMap<>());
    for (JsonNode share : status.path("snapshot").path("shares")) {
      String workspace = share.path("workspace").asText();
      costs.put(workspace, share.path("localCost").asDouble());
      weights.put(workspace, share.path("weight").asDouble(1));
    }
  }

  /** Returns the received cost of each given workspace; 0 for one that hasn't been seen yet. */
  Map<String, FairnessGap.Received> byWorkspace(Set<String> workspaces) {
    Map<String, FairnessGap.Received> received = new HashMap<>();
    for (String workspace : workspaces) {
      double weight = weights.getOrDefault(workspace, 1.0);
      received.put(workspace, new FairnessGap.Received(cost(workspace) / weight, weight));
    }
    return received;
  }

  /** Returns the total cost received by all workspaces. */
  double total() {
    return byIncarnation.values().stream()
        .flatMap(costs -> costs.values().stream())
        .mapToDouble(Double::doubleValue)
        .sum();
  }

  private double cost(String workspace) {
    return byIncarnation.values().stream()
        .mapToDouble(costs -> costs.getOrDefault(workspace, 0.0))
        .sum();
  }
}

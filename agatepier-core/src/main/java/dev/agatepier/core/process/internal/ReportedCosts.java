package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The costs last reported to one receiver, so that only changes are sent to it. */
final class ReportedCosts {
  private final Map<String, Double> lastReported = new HashMap<>();

  /** Returns the costs that differ from the last reported ones, and records them as reported. */
  List<WorkspaceCost> takeChanges(Collection<String> workspaces, ToDoubleFunction<String> value) {
    List<WorkspaceCost> changes = new ArrayList<>();
    for (String workspace : workspaces) {
      double cost = value.applyAsDouble(workspace);
      Double before = lastReported.put(workspace, cost);
      if (before == null || before != cost) {
        changes.add(new WorkspaceCost(workspace, cost));
      }
    }
    return changes;
  }

  boolean hasReported(String workspace) {
    return lastReported.containsKey(workspace);
  }
}

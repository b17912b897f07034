package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The costs last told to one receiver, so that only changes are told again. */
final class ReportedCosts {
  private final Map<String, Double> told = new HashMap<>();

  /** Returns the workspaces whose value is another than last told, and notes them as told. */
  List<WorkspaceCost> takeChanges(Collection<String> workspaces, ToDoubleFunction<String> value) {
    List<WorkspaceCost> changes = new ArrayList<>();
    for (String workspace : workspaces) {
      double cost = value.applyAsDouble(workspace);
      Double before = told.put(workspace, cost);
      if (before == null || before != cost) {
        changes.add(new WorkspaceCost(workspace, cost));
      }
    }
    return changes;
  }

  boolean hasReported(String workspace) {
    return told.containsKey(workspace);
  }
}

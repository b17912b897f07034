package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/**
 * The costs that one incarnation of a process has reported, and the part of them that was counted.
 */
final class CostContribution {
  final PeerIdentity sender;
  final Map<String, Double> counted = new HashMap<>();
  private final Map<String, Double> lastReported = new HashMap<>();
  private boolean baselineTaken;
  boolean linked = true;
  long unlinkedNanos;

  CostContribution(PeerIdentity sender) {
    this.sender = sender;
  }

  /**
   * Applies a report of cumulative costs. The first report is the baseline; later ones count by
   * their increase.
   */
  void update(List<WorkspaceCost> costs, ObjDoubleConsumer<String> increments) {
    for (WorkspaceCost cost : costs) {
      double previous = lastReported.getOrDefault(cost.workspace(), 0.0);
      if (cost.cost() > previous) {
        lastReported.put(cost.workspace(), cost.cost());
        if (baselineTaken) {
          counted.merge(cost.workspace(), cost.cost() - previous, Double::sum);
          increments.accept(cost.workspace(), cost.cost() - previous);
        }
      }
    }
    baselineTaken = true;
  }
}

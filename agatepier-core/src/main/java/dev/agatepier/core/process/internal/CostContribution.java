package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** What one incarnation of a process has told of costs, and how much of that has been counted. */
final class CostContribution {
  final PeerIdentity sender;
  final Map<String, Double> counted = new HashMap<>();
  private final Map<String, Double> last = new HashMap<>();
  private boolean baselineTaken;
  boolean linked = true;
  long unlinkedNanos;

  CostContribution(PeerIdentity sender) {
    this.sender = sender;
  }

  /** Takes in absolute values; all but the first ones count with what they have grown by. */
  void update(List<WorkspaceCost> costs, ObjDoubleConsumer<String> increments) {
    for (WorkspaceCost cost : costs) {
      double before = last.getOrDefault(cost.workspace(), 0.0);
      if (cost.cost() > before) {
        last.put(cost.workspace(), cost.cost());
        if (baselineTaken) {
          counted.merge(cost.workspace(), cost.cost() - before, Double::sum);
          increments.accept(cost.workspace(), cost.cost() - before);
        }
      }
    }
    baselineTaken = true;
  }
}

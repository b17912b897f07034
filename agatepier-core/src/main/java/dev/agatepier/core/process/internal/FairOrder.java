package dev.agatepier.core.process.internal;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/** Says which of the waiting workspaces is served first. */
public interface FairOrder {

  /** Compares two waiting workspaces; the least is served first. */
  Comparator<WorkspaceAccount> comparator();

  /** Returns whether cost received at other sidecars counts. */
  boolean countsFleetCost();

  /**
   * Returns the order of a name.
   *
   * @throws IllegalArgumentException if there is none of that name
   */
  static FairOrder named(String name) {
    Map<String, FairOrder> orders =
        Map.of(
            "virtual-service", new VirtualServiceOrder(true),
            "local-service", new VirtualServiceOrder(false),
            "first-come", new FirstComeOrder());
    return Optional.ofNullable(orders.get(name))
        .orElseThrow(() -> new IllegalArgumentException("no fair order is named " + name));
  }
}

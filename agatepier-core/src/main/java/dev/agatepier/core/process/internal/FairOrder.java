package dev.agatepier.core.process.internal;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/** Order in which waiting workspaces are served. */
public interface FairOrder {

  /** Returns a comparator of waiting workspaces; the smallest is served first. */
  Comparator<WorkspaceAccount> comparator();

  /** Returns whether the order counts cost that a workspace incurred at other sidecars. */
  boolean countsFleetCost();

  /**
   * Returns the order with a name of the settings.
   *
   * @throws IllegalArgumentException if there is no order with that name
   */
  static FairOrder named(String name) {
    Map<String, FairOrder> orders =
        Map.of(
            "virtual-service", new VirtualServiceOrder(true),
            "local-service", new VirtualServiceOrder(false),
            "first-come", new FirstComeOrder());
    return Optional.ofNullable(orders.get(name))
        .orElseThrow(() -> new IllegalArgumentException("unknown fair order: " + name));
  }
}

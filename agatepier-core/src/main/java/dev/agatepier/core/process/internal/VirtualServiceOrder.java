package dev.agatepier.core.process.internal;

import java.util.Comparator;

/**
 * Serves the workspace with the least cost per weight, then the oldest wait, then the first name.
 *
 * @param countsFleetCost whether cost received at other sidecars counts
 */
record VirtualServiceOrder(boolean countsFleetCost) implements FairOrder {

  @Override
  public Comparator<WorkspaceAccount> comparator() {
    return Comparator.<WorkspaceAccount>comparingDouble(account -> account.virtualService)
        .thenComparingLong(account -> account.oldestSinceNanos)
        .thenComparing(account -> account.name);
  }
}

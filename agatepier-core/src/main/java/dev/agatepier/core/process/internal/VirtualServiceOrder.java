package dev.agatepier.core.process.internal;

import java.util.Comparator;

/**
 * Serves the workspace with the least virtual service; ties are broken by the longest wait, then by
 * name.
 *
 * @param countsFleetCost whether cost incurred at other sidecars is counted
 */
record VirtualServiceOrder(boolean countsFleetCost) implements FairOrder {

  @Override
  public Comparator<WorkspaceAccount> comparator() {
    return Comparator.<WorkspaceAccount>comparingDouble(account -> account.virtualService)
        .thenComparingLong(account -> account.oldestSinceNanos)
        .thenComparing(account -> account.name);
  }
}

package dev.agatepier.core.process.internal;

import java.util.Comparator;

/** Serves the workspace whose oldest request has waited longest, whatever its cost so far. */
record FirstComeOrder() implements FairOrder {

  @Override
  public Comparator<WorkspaceAccount> comparator() {
    return Comparator.<WorkspaceAccount>comparingLong(account -> account.oldestSinceNanos)
        .thenComparing(account -> account.name);
  }

  @Override
  public boolean countsFleetCost() {
    return false;
  }
}

package dev.agatepier.core.process.internal;

import java.util.Comparator;

/** Serves the oldest wait, whatever its workspace has received. */
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

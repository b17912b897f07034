package dev.agatepier.core.process.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The request first after which its workspace would have the least virtual service, as in weighted
 * fair queueing. Under a shortage short requests do not wait for long ones of workspaces that have
 * had about as much, so that more requests are served in time; the gap between workspaces stays
 * bounded by the cost of one request. Requests that were late on their arrival come last, and those
 * whose size is underserved count as without cost.
 */
final class FinishTimeOrder implements ServiceOrder {

  private static final Comparator<WaitingEntry> BY_COST =
      Comparator.<WaitingEntry, Boolean>comparing(entry -> entry.late)
          .thenComparingDouble(FinishTimeOrder::cost)
          .thenComparing(WaitingEntry.BY_DUE);

  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;

  private record Ranked(WorkspaceAccount account, double finish) {}

  FinishTimeOrder(WorkspaceLedger ledger, WaitingRequests waiting) {
    this.ledger = ledger;
    this.waiting = waiting;
  }

  @Override
  public List<WorkspaceAccount> workspaces() {
    return ledger.waitingInOrder().stream()
        .map(account -> new Ranked(account, leastFinish(account)))
        .sorted(Comparator.comparingDouble(Ranked::finish))
        .map(Ranked::account)
        .toList();
  }

  @Override
  public Collection<WaitingEntry> entries(String workspace) {
    List<WaitingEntry> entries = new ArrayList<>(waiting.ofWorkspace(workspace));
    entries.sort(BY_COST);
    return entries;
  }

  @Override
  public boolean precedes(WaitingEntry first, WaitingEntry second) {
    if (first.late != second.late) {
      return second.late;
    }
    return finish(first) <= finish(second);
  }

  private double leastFinish(WorkspaceAccount account) {
    double cost = Double.MAX_VALUE;
    for (WaitingEntry entry : waiting.ofWorkspace(account.name())) {
      cost = Math.min(cost, entry.late ? Double.MAX_VALUE : cost(entry));
    }
    return account.virtualService() + cost / account.weight();
  }

  private double finish(WaitingEntry entry) {
    WorkspaceAccount account = ledger.account(entry.workspace());
    return account.virtualService() + cost(entry) / account.weight();
  }

  private static double cost(WaitingEntry entry) {
    return entry.call.underserved() ? 0 : entry.cost;
  }
}

package dev.agatepier.core.process.internal;

import java.util.Collection;
import java.util.List;

/** The workspace with the least virtual service first, and of its requests the most urgent one. */
final class StartTimeOrder implements ServiceOrder {

  private final WorkspaceLedger ledger;
  private final WaitingRequests waiting;

  StartTimeOrder(WorkspaceLedger ledger, WaitingRequests waiting) {
    this.ledger = ledger;
    this.waiting = waiting;
  }

  @Override
  public List<WorkspaceAccount> workspaces() {
    return ledger.waitingInOrder();
  }

  @Override
  public Collection<WaitingEntry> entries(String workspace) {
    return waiting.ofWorkspace(workspace);
  }

  @Override
  public boolean precedes(WaitingEntry first, WaitingEntry second) {
    return first.workspace().equals(second.workspace())
        ? first.dueNanos <= second.dueNanos
        : ledger.account(first.workspace()).virtualService()
            <= ledger.account(second.workspace()).virtualService();
  }
}

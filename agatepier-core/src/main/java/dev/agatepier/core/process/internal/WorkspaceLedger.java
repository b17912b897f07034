package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.Table;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The accounts of all workspaces and the order in which the waiting ones are served. A pick and a
 * change take time logarithmic in the number of waiting workspaces.
 *
 * <p>Virtual service grows by cost / weight, at the weight in force when the cost is charged. A
 * workspace that becomes active is lifted to the least virtual service of the waiting ones, so that
 * it can't bank credit; one that is ahead keeps its debt.
 */
public final class WorkspaceLedger {
  private final FairOrder order;
  private final double catchUpCost;
  private final Map<String, WorkspaceAccount> accounts = new HashMap<>();
  private final TreeSet<WorkspaceAccount> waiting;
  private final TreeSet<WorkspaceAccount> byVirtualService;
  private double lastPicked;
  private Table table = Table.NONE;

  /**
   * Creates an empty ledger.
   *
   * @param order order in which waiting workspaces are served
   * @param catchUpCost most cost per weight that a report from elsewhere sets a workspace back
   */
  public WorkspaceLedger(FairOrder order, double catchUpCost) {
    this.order = order;
    this.catchUpCost = catchUpCost;
    this.waiting = new TreeSet<>(order.comparator());
    this.byVirtualService = new TreeSet<>(new VirtualServiceOrder(true).comparator());
  }

  /** Takes the weights of a table version for all cost charged from now on. */
  public void inForce(Table newTable) {
    table = newTable;
    accounts.values().forEach(account -> account.weight = newTable.weight(account.name));
  }

  /** Returns the account of a workspace, a new one if there was none. */
  public WorkspaceAccount account(String workspace) {
    return accounts.computeIfAbsent(
        workspace, name -> new WorkspaceAccount(name, table.weight(name)));
  }

  /** Returns all accounts. */
  public Collection<WorkspaceAccount> accounts() {
    return accounts.values();
  }

  /** Returns the waiting workspace that is served next. */
  public Optional<WorkspaceAccount> next() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
  }

  /** Sets how many requests of a workspace may be granted and since when the oldest waits. */
  public void setDemand(String workspace, int count, long oldestSinceNanos) {
    WorkspaceAccount account = account(workspace);
    boolean becomesActive = count > 0 && !account.active();
    double least = leastVirtualService();
    change(
        account,
        changed -> {
          changed.waiting = count;
          changed.oldestSinceNanos = oldestSinceNanos;
          if (becomesActive) {
            changed.virtualService = Math.max(changed.virtualService, least);
          }
        });
  }

  /** Notes that a workspace holds one more slot, or one less. */
  public void addInFlight(String workspace, int difference) {
    WorkspaceAccount account = account(workspace);
    if (difference > 0) {
      lastPicked = Math.max(lastPicked, account.virtualService);
    }
    account.inFlight += difference;
  }

  /** Notes that one more attempt of a workspace runs, or one less. */
  public void addRunning(String workspace, int difference) {
    account(workspace).running += difference;
  }

  /** Charges cost received here; a negative cost corrects an estimate that was too high. */
  public void charge(String workspace, double cost) {
    change(
        account(workspace),
        account -> {
          account.localCost += cost;
          account.virtualService += cost / account.weight;
        });
  }

  /**
   * Charges cost received elsewhere. Such a charge lifts the virtual service of a workspace at most
   * to the least virtual service of the waiting workspaces + catch-up cost / weight. So a workspace
   * that was served on the other side of a partition is set back by no more than that, and one that
   * was not served there is preferred for no longer than until it has caught up with that.
   */
  public void chargeFleet(String workspace, double cost) {
    WorkspaceAccount account = account(workspace);
    account.fleetCost += cost;
    if (!order.countsFleetCost()) {
      return;
    }
    double ceiling = leastVirtualService() + catchUpCost / account.weight;
    double charged = account.virtualService + cost / account.weight;
    double limited = Math.max(account.virtualService, Math.min(charged, ceiling));
    change(account, changed -> changed.virtualService = limited);
  }

  private double leastVirtualService() {
    return byVirtualService.isEmpty() ? lastPicked : byVirtualService.first().virtualService;
  }

  private void change(WorkspaceAccount account, Consumer<WorkspaceAccount> change) {
    if (account.waiting > 0) {
      waiting.remove(account);
      byVirtualService.remove(account);
    }
    change.accept(account);
    if (account.waiting > 0) {
      waiting.add(account);
      byVirtualService.add(account);
    }
  }
}

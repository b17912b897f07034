package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.Table;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The accounts of all workspaces and the order in which the waiting ones are served. A pick and a
 * change take time logarithmic in the number of waiting workspaces.
 *
 * <p>Virtual service grows by cost / weight, at the weight in force when the cost is charged. A
 * workspace that becomes active is lifted to the least virtual service of the waiting ones, so that
 * it can't bank credit; one that is ahead keeps its debt. A workspace whose demand was lost with
 * the link to its router did not leave of its own will: when it comes back it is lifted only to the
 * least virtual service - catch-up cost / weight.
 */
public final class WorkspaceLedger {
  private final FairOrder order;
  private final double catchUpCost;
  private final Map<String, WorkspaceAccount> accounts = new HashMap<>();
  private final TreeSet<WorkspaceAccount> waiting;
  private final TreeSet<WorkspaceAccount> byVirtualService;
  private final Set<String> active = new TreeSet<>();
  private final Set<String> charged = new HashSet<>();
  private final Set<String> activeChanged = new HashSet<>();
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
  public void activate(Table newTable) {
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

  /** Returns the names of the workspaces that have demand or hold a slot, in order. */
  public Set<String> active() {
    return Collections.unmodifiableSet(active);
  }

  /** Returns the workspaces charged for cost here since the last call. */
  public Set<String> takeCharged() {
    Set<String> taken = new TreeSet<>(charged);
    charged.clear();
    return taken;
  }

  /** Returns the workspaces that became active or ceased to be since the last call. */
  public Set<String> takeActiveChanged() {
    Set<String> taken = new TreeSet<>(activeChanged);
    activeChanged.clear();
    return taken;
  }

  /** Returns the waiting workspace that is served next. */
  public Optional<WorkspaceAccount> next() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
  }

  /** Returns the waiting workspaces in the order in which they are served. */
  public List<WorkspaceAccount> waitingInOrder() {
    return List.copyOf(waiting);
  }

  /** Sets how many requests of a workspace may be granted and since when the oldest waits. */
  public void setDemand(String workspace, int count, long oldestSinceNanos) {
    WorkspaceAccount account = account(workspace);
    boolean becomesActive = count > 0 && !account.active();
    double least = leastVirtualService();
    double floor = account.demandLost ? least - catchUpCost / account.weight : least;
    account.demandLost &= count == 0;
    change(
        account,
        changed -> {
          changed.waiting = count;
          changed.oldestSinceNanos = oldestSinceNanos;
          if (becomesActive) {
            changed.virtualService = Math.max(changed.virtualService, floor);
          }
        });
  }

  /** Notes that demand of a workspace was lost with the link to its router. */
  public void markDemandLost(String workspace) {
    WorkspaceAccount account = account(workspace);
    account.demandLost = account.waiting == 0;
  }

  /** Notes that a workspace holds one more slot, or one less. */
  public void addInFlight(String workspace, int difference) {
    WorkspaceAccount account = account(workspace);
    if (difference > 0) {
      lastPicked = Math.max(lastPicked, account.virtualService);
    }
    account.inFlight += difference;
    noteActive(account);
  }

  /** Notes that one more attempt of a workspace runs, or one less. */
  public void addRunning(String workspace, int difference) {
    account(workspace).running += difference;
  }

  /** Charges cost received here; a negative cost corrects an estimate that was too high. */
  public void charge(String workspace, double cost) {
    charged.add(workspace);
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

  /**
   * Lets cost count for less as it gets older. The order of the workspaces stays as it is.
   *
   * @param share what is left of every difference between workspaces, above 0 and up to 1
   */
  public void decay(double share) {
    accounts.values().forEach(account -> account.virtualService *= share);
    lastPicked *= share;
  }

  private void noteActive(WorkspaceAccount account) {
    boolean changed = account.active() ? active.add(account.name) : active.remove(account.name);
    if (changed) {
      activeChanged.add(account.name);
    }
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
    noteActive(account);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.version.Table;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The accounts of all workspaces and the order in which the waiting ones are served. Selecting the
 * next workspace and changing an account take time logarithmic in the number of waiting workspaces.
 *
 * <p>Virtual service grows by cost / weight, at the weight that is active when the cost is charged.
 * The virtual service of a workspace that becomes active is raised to the minimum of the waiting
 * workspaces, or if none waits of those that hold a slot, so that idle workspaces do not accumulate
 * credit; a higher value is kept. A workspace whose demand was lost with the link to its router is
 * not regarded as idle: when its demand returns, its virtual service is raised only to the minimum
 * - catch-up cost / weight.
 */
public final class WorkspaceLedger {

  /**
   * Ratio of the decay of recent service to that of virtual service. Recent service then halves
   * within 0.35 s in a cost window of 4 s; reports of other data centres come each 0.25 s.
   */
  private static final double RECENT_DECAY = 4;

  /**
   * Maximum ratio of the virtual service to the recent service of a waiting workspace whose virtual
   * service is not the least. With 2 the lowest share of WorkspaceSharesTest falls from 0.82 to
   * 0.71, as workspaces of few requests are forgiven between two of them.
   */
  private static final double MAXIMUM_UNSERVED = 4;

  private final FairOrder order;
  private final double catchUpCost;
  private final Map<String, WorkspaceAccount> accounts = new HashMap<>();
  private final TreeSet<WorkspaceAccount> waiting;
  private final TreeSet<WorkspaceAccount> waitingByVirtualService;
  private final TreeSet<WorkspaceAccount> servedByVirtualService;
  private final Set<String> active = new TreeSet<>();
  private final Set<String> charged = new HashSet<>();
  private final Set<String> activeChanged = new HashSet<>();
  private double highestServedVirtualService;
  private double decayExponent;
  private Table table = Table.NONE;

  /**
   * Creates an empty ledger.
   *
   * @param order order in which waiting workspaces are served
   * @param catchUpCost maximum by which costs incurred elsewhere set a workspace back, as cost that
   *     is divided by its weight; infinite if costs decay
   */
  public WorkspaceLedger(FairOrder order, double catchUpCost) {
    this.order = order;
    this.catchUpCost = catchUpCost;
    this.waiting = new TreeSet<>(order.comparator());
    Comparator<WorkspaceAccount> byVirtualService = new VirtualServiceOrder(true).comparator();
    this.waitingByVirtualService = new TreeSet<>(byVirtualService);
    this.servedByVirtualService = new TreeSet<>(byVirtualService);
  }

  /** Activates a table version; its weights apply to all cost charged from now on. */
  public void activate(Table newTable) {
    table = newTable;
    accounts.values().forEach(account -> account.weight = newTable.weight(account.name));
  }

  /** Returns the account of a workspace; creates it if there is none. */
  public WorkspaceAccount account(String workspace) {
    return accounts.computeIfAbsent(
        workspace, name -> new WorkspaceAccount(name, table.weight(name)));
  }

  /** Returns all accounts, in no particular order. */
  public Collection<WorkspaceAccount> accounts() {
    return accounts.values();
  }

  /** Returns the workspaces that have demand or hold a slot, sorted by name, as a live view. */
  public Set<String> active() {
    return Collections.unmodifiableSet(active);
  }

  /** Returns the workspaces charged for cost at this sidecar since the last call. */
  public Set<String> takeCharged() {
    Set<String> result = new TreeSet<>(charged);
    charged.clear();
    return result;
  }

  /** Returns the workspaces that became active or inactive since the last call. */
  public Set<String> takeActiveChanged() {
    Set<String> result = new TreeSet<>(activeChanged);
    activeChanged.clear();
    return result;
  }

  /** Returns the waiting workspace to serve next; empty if none waits. */
  public Optional<WorkspaceAccount> next() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
  }

  /** Returns the waiting workspaces in the order in which they are served. */
  public List<WorkspaceAccount> waitingInOrder() {
    return List.copyOf(waiting);
  }

  /** Returns where a workspace stands in the fair order now. */
  public FairPosition position(String workspace) {
    return new FairPosition(
        workspace,
        account(workspace).virtualService,
        waiting.isEmpty() ? 0 : waiting.first().virtualService,
        waiting.size());
  }

  /**
   * Sets how many requests of a workspace may be granted and when the oldest one started to wait.
   */
  public void setDemand(String workspace, int count, long oldestSinceNanos) {
    WorkspaceAccount account = account(workspace);
    boolean becomesActive = count > 0 && !account.active();
    double minimum = minimumVirtualService();
    double floor = account.demandLost ? minimum - catchUpCost / account.weight : minimum;
    account.demandLost &= count == 0;
    change(
        account,
        changed -> {
          changed.waiting = count;
          changed.oldestSinceNanos = oldestSinceNanos;
          if (becomesActive) {
            changed.virtualService = Math.max(changed.virtualService, floor);
            // Otherwise a newcomer would be regarded as not served and lowered again.
            changed.recentService = Math.max(changed.recentService, floor);
          }
        });
  }

  /** Records that demand of a workspace was lost with the link to its router. */
  public void markDemandLost(String workspace) {
    WorkspaceAccount account = account(workspace);
    account.demandLost = account.waiting == 0;
  }

  /** Changes the number of slots that a workspace holds. */
  public void addInFlight(String workspace, int difference) {
    WorkspaceAccount account = account(workspace);
    if (difference > 0) {
      highestServedVirtualService = Math.max(highestServedVirtualService, account.virtualService);
    }
    change(account, changed -> changed.inFlight += difference);
  }

  /** Changes the number of running attempts of a workspace. */
  public void addRunning(String workspace, int difference) {
    account(workspace).running += difference;
  }

  /** Charges cost incurred here; a negative cost corrects an estimate that was too high. */
  public void charge(String workspace, double cost) {
    charge(workspace, cost, cost);
  }

  private void charge(String workspace, double cost, double recentCost) {
    charged.add(workspace);
    change(
        account(workspace),
        account -> {
          account.localCost += cost;
          account.setVirtualService(
              account.virtualService + cost / account.weight,
              RECENT_DECAY * recentCost / account.weight);
        });
  }

  /** Returns the sum of all exponents by which costs were decayed. */
  public double decayExponent() {
    return decayExponent;
  }

  /**
   * Corrects an earlier charge, which has decayed since.
   *
   * @param cost what was charged too little, or too much if negative
   * @param chargedExponent value of {@link #decayExponent} at the time of the charge
   */
  public void correct(String workspace, double cost, double chargedExponent) {
    double exponent = chargedExponent - decayExponent;
    charge(workspace, cost * Math.exp(exponent), cost * Math.exp(RECENT_DECAY * exponent));
  }

  /**
   * Charges cost incurred elsewhere. Such a charge raises the virtual service of a workspace at
   * most to the minimum of the waiting workspaces + catch-up cost / weight. So a workspace that was
   * served on the other side of a network partition is set back by no more than that, and one that
   * was not served there is preferred only until it has caught up with that amount. A negative cost
   * corrects earlier ones.
   */
  public void chargeFleet(String workspace, double cost) {
    WorkspaceAccount account = account(workspace);
    account.fleetCost += cost;
    if (!order.countsFleetCost()) {
      return;
    }
    double uncapped = account.virtualService + cost / account.weight;
    double ceiling = minimumVirtualService() + catchUpCost / account.weight;
    double capped =
        cost < 0 ? uncapped : Math.max(account.virtualService, Math.min(uncapped, ceiling));
    // When the cost that a negative one corrects was charged is not known here.
    double recent = RECENT_DECAY * Math.max(0, capped - account.virtualService);
    change(account, changed -> changed.setVirtualService(capped, recent));
  }

  /**
   * Decays the costs and the virtual service of all workspaces, so that older cost counts less. The
   * order of the workspaces does not change.
   *
   * @param exponent negative logarithm of the factor by which each is multiplied, at least 0
   */
  public void decay(double exponent) {
    decayExponent += exponent;
    double share = Math.exp(-exponent);
    double recentShare = Math.exp(-exponent * RECENT_DECAY);
    for (WorkspaceAccount account : accounts.values()) {
      account.localCost *= share;
      account.fleetCost *= share;
      account.virtualService *= share;
      account.recentService *= recentShare;
    }
    highestServedVirtualService *= share;
  }

  /**
   * Lowers the virtual service of waiting workspaces that were not served lately in any data
   * centre, at most to the minimum. Otherwise a workspace that had all capacity waits until each of
   * the others has got as much, which takes longer the more of them there are.
   */
  public void limitUnservedTime() {
    if (waitingByVirtualService.isEmpty()) {
      return;
    }
    double minimum = waitingByVirtualService.first().virtualService;
    for (WorkspaceAccount account : List.copyOf(waiting)) {
      double limit = Math.max(minimum, MAXIMUM_UNSERVED * account.recentService);
      if (account.virtualService > limit) {
        change(account, changed -> changed.virtualService = limit);
      }
    }
  }

  private void updateActive(WorkspaceAccount account) {
    boolean changed = account.active() ? active.add(account.name) : active.remove(account.name);
    if (changed) {
      activeChanged.add(account.name);
    }
  }

  /**
   * Returns the minimum of the waiting workspaces, otherwise of those that hold a slot, and if
   * there are none the highest virtual service that was served.
   */
  private double minimumVirtualService() {
    TreeSet<WorkspaceAccount> competing =
        waitingByVirtualService.isEmpty() ? servedByVirtualService : waitingByVirtualService;
    return competing.isEmpty() ? highestServedVirtualService : competing.first().virtualService;
  }

  private void change(WorkspaceAccount account, Consumer<WorkspaceAccount> change) {
    if (account.waiting > 0) {
      waiting.remove(account);
      waitingByVirtualService.remove(account);
    }
    if (account.inFlight > 0) {
      servedByVirtualService.remove(account);
    }
    change.accept(account);
    if (account.waiting > 0) {
      waiting.add(account);
      waitingByVirtualService.add(account);
    }
    if (account.inFlight > 0) {
      servedByVirtualService.add(account);
    }
    updateActive(account);
  }
}

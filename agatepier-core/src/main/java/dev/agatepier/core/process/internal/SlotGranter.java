package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.Send;
import dev.agatepier.core.process.internal.OutstandingGrants.IssuedGrant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Grants free slots in the fair order, and tells the routers of slots that nobody asks for. */
public final class SlotGranter {

  /** Time after which routers are told again of free slots. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final WorkspaceLedger ledger;
  private final DemandIndex demand;
  private final CostEstimator estimator;
  private final OutstandingGrants grants = new OutstandingGrants();
  private boolean told;
  private long toldNanos;

  /** Creates a granter with no grant under way. */
  public SlotGranter(WorkspaceLedger ledger, DemandIndex demand, CostEstimator estimator) {
    this.ledger = ledger;
    this.demand = demand;
    this.estimator = estimator;
  }

  /** Returns the number of grants not yet answered. */
  public int outstandingGrants() {
    return grants.size();
  }

  /** Takes out a grant that its router answers with an attempt; its cost stays charged. */
  public Optional<IssuedGrant> onGrantUsed(long number, String router, long nowNanos) {
    Optional<IssuedGrant> grant = grants.take(number, router);
    grant.ifPresent(taken -> demand.recordGrantEnd(router, taken.workspace(), false, nowNanos));
    return grant;
  }

  /** Takes back a grant that its router declines. */
  public void onGrantDeclined(long number, String router, long nowNanos) {
    grants.take(number, router).ifPresent(grant -> takeBack(grant, true, nowNanos));
  }

  /** Takes back the grants that were issued at or before a time and not answered. */
  public void revokeIssuedUntil(long nanos, long nowNanos) {
    grants.removeIssuedUntil(nanos).forEach(grant -> takeBack(grant, true, nowNanos));
  }

  /** Takes back the grants of a router that is gone. */
  public void revokeOfRouter(String router, long nowNanos) {
    grants.removeOfRouter(router).forEach(grant -> takeBack(grant, false, nowNanos));
  }

  /** Gives up the slot and the charge of a grant whose attempt does not run. */
  public void release(IssuedGrant grant) {
    ledger.charge(grant.workspace(), -grant.estimate());
    ledger.addInFlight(grant.workspace(), -1);
  }

  /** Grants as many slots as are free, and tells the routers if some stay free. */
  public void grant(
      int freeSlots, Set<String> routers, long nowNanos, List<SidecarEffect> effects) {
    int free = freeSlots;
    while (free > 0 && grantOne(nowNanos, effects)) {
      free--;
    }
    if (free <= 0) {
      told = false;
    } else if (!told || nowNanos - toldNanos >= REPEAT_NANOS) {
      told = true;
      toldNanos = nowNanos;
      for (String router : routers) {
        effects.add(new Send(router, new LinkMessage.FreeSlots(free)));
      }
    }
  }

  /** Has every router told again, because one has come. */
  public void onRouterConnected() {
    told = false;
  }

  private boolean grantOne(long nowNanos, List<SidecarEffect> effects) {
    Optional<WorkspaceAccount> next = ledger.next();
    if (next.isEmpty()) {
      return false;
    }
    String workspace = next.get().name();
    String router = demand.oldestRouter(workspace).orElseThrow();
    double estimate = estimator.estimate(workspace);
    IssuedGrant grant = grants.issue(router, workspace, estimate, nowNanos);
    effects.add(new Send(router, new LinkMessage.Grant(grant.number(), workspace)));
    ledger.addInFlight(workspace, 1);
    ledger.charge(workspace, estimate);
    demand.recordGrant(router, workspace);
    return true;
  }

  private void takeBack(IssuedGrant grant, boolean passOver, long nowNanos) {
    release(grant);
    demand.recordGrantEnd(grant.router(), grant.workspace(), passOver, nowNanos);
  }
}

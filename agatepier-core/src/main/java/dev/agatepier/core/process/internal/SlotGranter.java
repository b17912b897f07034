package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEffect.Send;
import dev.agatepier.core.process.internal.OutstandingGrants.IssuedGrant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Grants free slots in fair order and announces to routers the slots without demand. */
public final class SlotGranter {

  /** Interval at which free slots are announced again. */
  private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final WorkspaceLedger ledger;
  private final DemandIndex demand;
  private final CostEstimator estimator;
  private final OutstandingGrants grants = new OutstandingGrants();
  private boolean announced;
  private long announcedNanos;

  /** Creates a granter without outstanding grants. */
  public SlotGranter(WorkspaceLedger ledger, DemandIndex demand, CostEstimator estimator) {
    this.ledger = ledger;
    this.demand = demand;
    this.estimator = estimator;
  }

  /** Returns the number of grants that await a reply. */
  public int outstandingGrants() {
    return grants.size();
  }

  /** Removes a grant that its router uses for an attempt; its cost stays charged. */
  public Optional<IssuedGrant> onGrantUsed(long number, String router, long nowNanos) {
    Optional<IssuedGrant> grant = grants.take(number, router);
    grant.ifPresent(used -> demand.recordGrantEnd(router, used.workspace(), false, nowNanos));
    return grant;
  }

  /** Revokes a grant that its router declines. */
  public void onGrantDeclined(long number, String router, long nowNanos) {
    grants.take(number, router).ifPresent(grant -> revoke(grant, true, nowNanos));
  }

  /** Revokes the outstanding grants that were issued at or before a time. */
  public void revokeIssuedUntil(long nanos, long nowNanos) {
    grants.removeIssuedUntil(nanos).forEach(grant -> revoke(grant, true, nowNanos));
  }

  /** Revokes the grants of a disconnected router. */
  public void revokeOfRouter(String router, long nowNanos) {
    grants.removeOfRouter(router).forEach(grant -> revoke(grant, false, nowNanos));
  }

  /** Refunds the charge of a grant whose attempt does not run and releases its slot. */
  public void release(IssuedGrant grant) {
    ledger.charge(grant.workspace(), -grant.estimate());
    ledger.addInFlight(grant.workspace(), -1);
  }

  /** Grants up to the given number of free slots and announces those that remain free. */
  public void grant(
      int freeSlots, Set<String> routers, long nowNanos, List<SidecarEffect> effects) {
    int free = freeSlots;
    while (free > 0 && grantOne(nowNanos, effects)) {
      free--;
    }
    if (free <= 0) {
      announced = false;
    } else if (!announced || nowNanos - announcedNanos >= ANNOUNCE_INTERVAL_NANOS) {
      announced = true;
      announcedNanos = nowNanos;
      for (String router : routers) {
        effects.add(new Send(router, new LinkMessage.FreeSlots(free)));
      }
    }
  }

  /** Causes the next announcement to be sent at once, for a newly connected router. */
  public void onRouterConnected() {
    announced = false;
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

  private void revoke(IssuedGrant grant, boolean passOver, long nowNanos) {
    release(grant);
    demand.recordGrantEnd(grant.router(), grant.workspace(), passOver, nowNanos);
  }
}

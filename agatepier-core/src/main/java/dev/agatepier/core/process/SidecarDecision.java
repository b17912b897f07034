package dev.agatepier.core.process;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.internal.CostEstimator;
import dev.agatepier.core.process.internal.CostExchange;
import dev.agatepier.core.process.internal.DemandIndex;
import dev.agatepier.core.process.internal.FairOrder;
import dev.agatepier.core.process.internal.Readiness;
import dev.agatepier.core.process.internal.SidecarAttempts;
import dev.agatepier.core.process.internal.SlotGranter;
import dev.agatepier.core.process.internal.SlotLimit;
import dev.agatepier.core.process.internal.TokenGapAverage;
import dev.agatepier.core.process.internal.WorkspaceAccount;
import dev.agatepier.core.process.internal.WorkspaceLedger;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The state machine of a sidecar: grants slots of one upstream and runs each attempt at most once.
 */
public final class SidecarDecision implements Decision<SidecarEvent, SidecarEffect> {
  private final PeerIdentity self;
  private final SidecarPolicy policy;
  private final List<SidecarEffect> effects = new ArrayList<>();
  private final Map<String, PeerIdentity> routers = new LinkedHashMap<>();
  private final Readiness readiness = new Readiness();
  private final WorkspaceLedger ledger;
  private final DemandIndex demand;
  private final SlotGranter granter;
  private final SidecarAttempts attempts;
  private final CostExchange exchange;
  private Optional<ServiceKind> kind = Optional.empty();
  private final TokenGapAverage tokenGaps = new TokenGapAverage();
  private SlotLimit limit;
  private boolean draining;
  private boolean drainedReported;

  /**
   * Creates the decision of a sidecar without routers or table, whose upstream is not yet healthy.
   *
   * @param self identity of the sidecar
   * @param policy settings
   */
  public SidecarDecision(PeerIdentity self, SidecarPolicy policy) {
    this.self = self;
    this.policy = policy;
    CostEstimator estimator = new CostEstimator();
    ledger = new WorkspaceLedger(FairOrder.named(policy.order()), policy.catchUpCost());
    demand = new DemandIndex(ledger);
    granter = new SlotGranter(ledger, demand, estimator);
    attempts = new SidecarAttempts(self, policy, readiness, ledger, estimator, granter, effects);
    exchange = new CostExchange(self, policy.reportMillis(), ledger);
    limit = SlotLimit.of(ServiceKind.MODEL, policy);
  }

  @Override
  public List<SidecarEffect> decide(SidecarEvent event, long nowNanos) {
    switch (event) {
      case SidecarEvent.RouterConnected(PeerIdentity peer) -> onRouterConnected(peer, nowNanos);
      case SidecarEvent.RouterDisconnected(PeerIdentity peer) ->
          onRouterDisconnected(peer, nowNanos);
      case SidecarEvent.MessageReceived(PeerIdentity peer, LinkMessage message) ->
          onMessage(peer, message, nowNanos);
      case SidecarEvent.UpstreamResponseStarted started -> attempts.onResponseStarted(started);
      case SidecarEvent.UpstreamResponseData data -> onResponseData(data, nowNanos);
      case SidecarEvent.UpstreamResponseCompleted completed ->
          attempts.onResponseEnded(completed, nowNanos);
      case SidecarEvent.UpstreamFailed failed -> attempts.onResponseFailed(failed, nowNanos);
      case SidecarEvent.UpstreamHealthChanged health -> onUpstreamHealthChanged(health, nowNanos);
      case SidecarEvent.TableActivated(Table table) -> activateTable(table);
      case SidecarEvent.InstancesActivated(InstanceList instances) -> activateInstances(instances);
      case SidecarEvent.Tick() -> onTimePassed(nowNanos);
      case SidecarEvent.DrainStarted() -> beginDrain();
    }
    grantFreeSlots(nowNanos);
    exchange.report(nowNanos, effects);
    reportDrained();
    List<SidecarEffect> result = List.copyOf(effects);
    effects.clear();
    return result;
  }

  @Override
  public boolean idle() {
    return attempts.idle() && granter.outstandingGrants() == 0 && ledger.active().isEmpty();
  }

  /** Returns the state that operators see in the status of this sidecar. */
  public SidecarSnapshot snapshot(long nowNanos) {
    return new SidecarSnapshot(
        self.service(),
        readiness.healthy(),
        readiness.draining(),
        limit.slots(),
        attempts.size(),
        granter.outstandingGrants(),
        tokenGaps.averageMillis(),
        exchange.aggregator(),
        ledger.accounts().stream()
            .sorted(Comparator.comparing(WorkspaceAccount::name))
            .map(SidecarDecision::shareStatus)
            .toList());
  }

  private static SidecarSnapshot.ShareStatus shareStatus(WorkspaceAccount account) {
    return new SidecarSnapshot.ShareStatus(
        account.name(),
        account.weight(),
        account.waiting(),
        account.running(),
        account.localCost(),
        account.fleetCost(),
        account.virtualService());
  }

  private void onRouterConnected(PeerIdentity peer, long nowNanos) {
    PeerIdentity previous = routers.get(peer.instance());
    if (previous != null && !previous.equals(peer)) {
      onRouterDisconnected(previous, nowNanos);
    }
    routers.put(peer.instance(), peer);
    attempts.onRouterConnected(peer);
    exchange.routersChanged(routers.values());
    exchange.routerLinked(peer);
    granter.onRouterConnected();
  }

  private void onRouterDisconnected(PeerIdentity peer, long nowNanos) {
    if (routers.remove(peer.instance(), peer)) {
      demand.removeRouter(peer.instance());
      granter.revokeOfRouter(peer.instance(), nowNanos);
      attempts.onRouterDisconnected(peer, nowNanos);
      exchange.routersChanged(routers.values());
    }
  }

  private void onMessage(PeerIdentity peer, LinkMessage message, long nowNanos) {
    if (!peer.equals(routers.get(peer.instance()))) {
      return;
    }
    String router = peer.instance();
    switch (message) {
      case LinkMessage.DemandUpdate(List<WorkspaceDemand> changes) ->
          changes.forEach(change -> demand.update(router, change, nowNanos));
      case LinkMessage.GrantDeclined(long number) ->
          granter.onGrantDeclined(number, router, nowNanos);
      case AttemptMessage.StartAttempt start -> attempts.start(router, start, nowNanos);
      case AttemptMessage.WithdrawAttempt withdrawal ->
          attempts.withdraw(router, withdrawal.attempt());
      case AttemptMessage.AttemptCredit credit -> attempts.credit(credit.attempt(), credit.bytes());
      case LinkMessage.FleetCosts costs -> exchange.onFleetCosts(peer, costs);
      default -> {
        // The task that owns the link handles the other messages.
      }
    }
  }

  private void onResponseData(SidecarEvent.UpstreamResponseData data, long nowNanos) {
    boolean allInUse = attempts.size() >= limit.slots();
    double gapMillis = attempts.onResponseContent(data, nowNanos);
    if (gapMillis > 0) {
      limit.onTokenGap(gapMillis, allInUse);
      tokenGaps.add(gapMillis);
    }
  }

  private void onUpstreamHealthChanged(SidecarEvent.UpstreamHealthChanged health, long nowNanos) {
    readiness.setHealthy(health.healthy());
    if (health.crashed()) {
      attempts.onUpstreamCrashed(routers.keySet(), nowNanos);
    }
    if (!health.healthy()) {
      attempts.refuseWaiting(Reason.NOT_READY);
    }
  }

  private void activateTable(Table table) {
    ledger.activate(table);
    Optional<ServiceKind> published = table.service(self.service()).map(ServiceEntry::kind);
    if (published.isPresent() && !published.equals(kind)) {
      kind = published;
      attempts.setKind(published.get());
      limit = SlotLimit.of(published.get(), policy);
    }
  }

  private void activateInstances(InstanceList instances) {
    readiness.setLeaving(
        instances.instances().stream()
            .filter(instance -> instance.name().equals(self.instance()))
            .anyMatch(Instance::leaving));
    refuseWaitingWhenDraining();
  }

  private void onTimePassed(long nowNanos) {
    long grantNanos = TimeUnit.MILLISECONDS.toNanos(policy.grantMillis());
    granter.revokeIssuedUntil(nowNanos - grantNanos, nowNanos);
    demand.resumePaused(nowNanos);
    attempts.onTick(nowNanos);
  }

  private void beginDrain() {
    draining = true;
    readiness.beginDrain();
    refuseWaitingWhenDraining();
  }

  private void refuseWaitingWhenDraining() {
    if (readiness.draining()) {
      attempts.refuseWaiting(Reason.DRAINING);
    }
  }

  private void grantFreeSlots(long nowNanos) {
    if (kind.isPresent() && readiness.refusal().isEmpty() && !attempts.exclusive()) {
      int free = limit.slots() - attempts.size() - granter.outstandingGrants();
      granter.grant(free, routers.keySet(), nowNanos, effects);
    }
  }

  private void reportDrained() {
    if (draining && !drainedReported && attempts.idle() && granter.outstandingGrants() == 0) {
      drainedReported = true;
      effects.add(new SidecarEffect.Drained());
    }
  }
}

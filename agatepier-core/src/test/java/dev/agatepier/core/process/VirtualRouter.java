package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Limits;
import java.util.HashSet;
import java.util.Set;

/** A router process that runs the production decision in virtual time. */
final class VirtualRouter extends VirtualNode {

  /** Crashes of upstreams by a crashing request that this process has received reports of. */
  final Set<Suspicion> knownCrashes = new HashSet<>();

  private final SimulatedFleet fleet;
  private RouterDecision decision;

  VirtualRouter(SimulatedFleet fleet, String name) {
    super(fleet.time, name);
    this.fleet = fleet;
  }

  @Override
  PeerIdentity peer() {
    return new PeerIdentity(name, incarnation(), Role.ROUTER, "a1", "a", "");
  }

  @Override
  void start() {
    knownCrashes.clear();
    decision = new RouterDecision(peer(), RouterPolicy.DEFAULT);
    dispatch(new RouterEvent.TableActivated(RouterFixture.table(new Limits(9, 5, 0), 1)));
  }

  @Override
  void onLinked(PeerIdentity peer) {
    dispatch(new RouterEvent.PeerConnected(peer));
  }

  @Override
  void onUnlinked(PeerIdentity peer) {
    dispatch(new RouterEvent.PeerDisconnected(peer));
  }

  @Override
  void onMessage(PeerIdentity peer, LinkMessage message) {
    if (message instanceof SuspicionReport report) {
      report.suspicions().stream()
          .filter(each -> each.fingerprint().contentDigest().contains(VirtualUpstream.CRASH))
          .forEach(knownCrashes::add);
    }
    dispatch(new RouterEvent.MessageReceived(peer, message));
  }

  @Override
  void tick() {
    dispatch(new RouterEvent.Tick());
  }

  void dispatch(RouterEvent event) {
    for (RouterEffect effect : decision.decide(event, clockNanos())) {
      if (effect instanceof RouterEffect.Send send) {
        fleet.checkSend(this, send.message());
        fleet.network.send(this, send.instance(), send.message());
      } else {
        fleet.callers.onEffect(this, effect);
      }
    }
  }

  RouterSnapshot snapshot() {
    return decision.snapshot(clockNanos());
  }
}

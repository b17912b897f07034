package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Limits;
import java.util.HashSet;
import java.util.Set;

/** A real router's decision in virtual time. */
final class VirtualRouter extends VirtualNode {

  /** Deaths by a crashing request that this process was told of. */
  final Set<Suspicion> toldOf = new HashSet<>();

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
  void begin() {
    toldOf.clear();
    decision = new RouterDecision(peer(), RouterPolicy.DEFAULT);
    tell(new RouterEvent.TableActivated(RouterFixture.table(new Limits(9, 5, 0), 1)));
  }

  @Override
  void linked(PeerIdentity peer) {
    tell(new RouterEvent.PeerConnected(peer));
  }

  @Override
  void unlinked(PeerIdentity peer) {
    tell(new RouterEvent.PeerDisconnected(peer));
  }

  @Override
  void arrived(PeerIdentity peer, LinkMessage message) {
    if (message instanceof SuspicionReport report) {
      report.suspicions().stream()
          .filter(each -> each.fingerprint().contentDigest().contains(VirtualUpstream.CRASH))
          .forEach(toldOf::add);
    }
    tell(new RouterEvent.MessageArrived(peer, message));
  }

  @Override
  void tick() {
    tell(new RouterEvent.TimePassed());
  }

  void tell(RouterEvent event) {
    for (RouterEffect effect : decision.decide(event, clockNanos())) {
      if (effect instanceof RouterEffect.Send send) {
        fleet.sending(this, send.message());
        fleet.network.send(this, send.instance(), send.message());
      } else {
        fleet.callers.answered(this, effect);
      }
    }
  }

  RouterSnapshot snapshot() {
    return decision.snapshot(clockNanos());
  }
}

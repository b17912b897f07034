package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Limits;

/**
 * A sidecar process that runs the production decision in virtual time, with an upstream that fails
 * at random.
 */
final class VirtualSidecar extends VirtualNode {

  private final SimulatedFleet fleet;
  private final VirtualUpstream upstream;
  private SidecarDecision decision;

  VirtualSidecar(SimulatedFleet fleet, String name) {
    super(fleet.time, name);
    this.fleet = fleet;
    upstream = new VirtualUpstream(fleet, this);
  }

  @Override
  PeerIdentity peer() {
    return RouterFixture.sidecar(name, incarnation(), "a1");
  }

  @Override
  void start() {
    upstream.onSidecarRestart();
    decision = new SidecarDecision(peer(), SidecarFixture.policy("virtual-service", 2));
    dispatch(new SidecarEvent.TableActivated(RouterFixture.table(new Limits(9, 5, 0), 1)));
    dispatch(new SidecarEvent.UpstreamHealthChanged(true, false));
  }

  @Override
  void onLinked(PeerIdentity peer) {
    if (peer.role() == Role.ROUTER) {
      dispatch(new SidecarEvent.RouterConnected(peer));
      heartbeat(peer.instance());
    }
  }

  @Override
  void onUnlinked(PeerIdentity peer) {
    dispatch(new SidecarEvent.RouterDisconnected(peer));
  }

  @Override
  void onMessage(PeerIdentity peer, LinkMessage message) {
    dispatch(new SidecarEvent.MessageReceived(peer, message));
  }

  @Override
  void tick() {
    dispatch(new SidecarEvent.Tick());
  }

  void crashUpstream() {
    upstream.crash();
  }

  void dispatch(SidecarEvent event) {
    for (SidecarEffect effect : decision.decide(event, clockNanos())) {
      if (effect instanceof SidecarEffect.Send send) {
        fleet.network.send(this, send.instance(), send.message());
      } else {
        upstream.execute(effect);
      }
    }
  }

  SidecarSnapshot snapshot() {
    return decision.snapshot(clockNanos());
  }

  private void heartbeat(String router) {
    fleet.network.send(this, router, new Heartbeat(1, 1, false, clockMillis()));
  }
}

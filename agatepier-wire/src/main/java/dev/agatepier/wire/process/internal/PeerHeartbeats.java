package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.InstanceList;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tells which heartbeats have to be handled. Between routers most heartbeats only show that the
 * link is alive; passing each of them to every task would take a good part of a small instance's
 * processor time.
 */
final class PeerHeartbeats {

  private final Role self;
  private final Map<String, Boolean> drainingPeers = new ConcurrentHashMap<>();

  /** Creates the filter of a process with the given role. */
  PeerHeartbeats(Role self) {
    this.self = self;
  }

  /**
   * Returns whether a heartbeat reports a newer version than the active one, another draining flag
   * than the last one, or is the first on its link. Sidecars' clocks change with each heartbeat.
   */
  boolean isNews(PeerIdentity peer, Heartbeat heartbeat, long tableVersion, InstanceList list) {
    if (self != Role.ROUTER || peer.role() != Role.ROUTER) {
      return true;
    }
    Boolean draining = drainingPeers.get(peer.instance());
    return draining == null
        || draining != heartbeat.draining()
        || heartbeat.tableVersion() > tableVersion
        || heartbeat.instancesVersion() > list.version()
        || heartbeat.evacuatedRevision() > list.evacuatedRevision();
  }

  /** Records a heartbeat that has been handled. */
  void recordHandled(PeerIdentity peer, Heartbeat heartbeat) {
    drainingPeers.put(peer.instance(), heartbeat.draining());
  }

  /** Forgets a peer whose link has opened or closed. */
  void forget(PeerIdentity peer) {
    drainingPeers.remove(peer.instance());
  }
}

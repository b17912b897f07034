package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.Instance;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Discovers the other routers of the fleet where no platform lists them. Connected routers send
 * each other the routers that they can reach. A router that nobody has reported for 30 seconds is
 * removed.
 */
public final class RouterDirectory
    implements Decision<RouterDirectoryEvent, RouterDirectoryEffect> {

  /** Time after which an unreachable router is removed; longer than any restart takes. */
  private static final long EXPIRY_NANOS = 30_000_000_000L;

  private final Instance self;
  private final Map<String, KnownRouter> known = new TreeMap<>();
  private final Set<String> connectedPeers = new HashSet<>();
  private final List<RouterDirectoryEffect> effects = new ArrayList<>();

  /** A known router and the time at which it was last reported or connected. */
  private record KnownRouter(Instance instance, long lastReportedNanos) {}

  /** Creates a directory that contains only the router itself. */
  public RouterDirectory(Instance self) {
    this.self = self;
  }

  @Override
  public List<RouterDirectoryEffect> decide(RouterDirectoryEvent event, long nowNanos) {
    switch (event) {
      case RouterDirectoryEvent.PeerConnected(PeerIdentity peer) ->
          onPeerConnected(peer.instance());
      case RouterDirectoryEvent.PeerDisconnected(PeerIdentity peer) ->
          connectedPeers.remove(peer.instance());
      case RouterDirectoryEvent.RoutersReported(String sender, List<Instance> routers) ->
          onRoutersReported(sender, routers, nowNanos);
      case RouterDirectoryEvent.Tick() -> expire(nowNanos);
    }
    List<RouterDirectoryEffect> result = List.copyOf(effects);
    effects.clear();
    return result;
  }

  private void onPeerConnected(String peer) {
    connectedPeers.add(peer);
    List<Instance> reachable = new ArrayList<>();
    reachable.add(self);
    connectedPeers.stream()
        .filter(known::containsKey)
        .forEach(name -> reachable.add(known.get(name).instance()));
    effects.add(new RouterDirectoryEffect.Send(peer, new KnownRouters(reachable)));
  }

  private void onRoutersReported(String sender, List<Instance> routers, long nowNanos) {
    List<Instance> changed = new ArrayList<>();
    for (Instance router : routers) {
      if (!router.name().equals(self.name())) {
        KnownRouter previous = known.put(router.name(), new KnownRouter(router, nowNanos));
        if (previous == null || !previous.instance().equals(router)) {
          changed.add(router);
        }
      }
    }
    if (changed.isEmpty()) {
      return;
    }
    for (String peer : connectedPeers) {
      if (!peer.equals(sender)) {
        effects.add(new RouterDirectoryEffect.Send(peer, new KnownRouters(changed)));
      }
    }
    publish();
  }

  private void expire(long nowNanos) {
    connectedPeers.forEach(
        name ->
            known.computeIfPresent(
                name, (key, entry) -> new KnownRouter(entry.instance(), nowNanos)));
    if (known.values().removeIf(entry -> nowNanos - entry.lastReportedNanos() > EXPIRY_NANOS)) {
      publish();
    }
  }

  private void publish() {
    effects.add(
        new RouterDirectoryEffect.Publish(
            known.values().stream().map(KnownRouter::instance).toList()));
  }
}

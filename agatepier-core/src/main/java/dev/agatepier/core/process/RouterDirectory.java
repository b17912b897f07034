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
 * Knows the fleet's other routers where no platform lists them. Linked routers tell each other whom
 * they reach; a router that nobody has reached for some time is forgotten.
 */
public final class RouterDirectory
    implements Decision<RouterDirectoryEvent, RouterDirectoryEffect> {

  /** Time after which a router that is not reached is forgotten: longer than any restart takes. */
  private static final long FORGET_NANOS = 30_000_000_000L;

  private final Instance self;
  private final Map<String, Known> known = new TreeMap<>();
  private final Set<String> linked = new HashSet<>();
  private final List<RouterDirectoryEffect> effects = new ArrayList<>();

  /** What is known of one router. */
  private record Known(Instance instance, long heardNanos) {}

  /** Creates a directory that knows the own router alone. */
  public RouterDirectory(Instance self) {
    this.self = self;
  }

  @Override
  public List<RouterDirectoryEffect> decide(RouterDirectoryEvent event, long nowNanos) {
    switch (event) {
      case RouterDirectoryEvent.PeerConnected(PeerIdentity peer) -> linked(peer.instance());
      case RouterDirectoryEvent.PeerDisconnected(PeerIdentity peer) ->
          linked.remove(peer.instance());
      case RouterDirectoryEvent.RoutersReported(String sender, List<Instance> routers) ->
          told(sender, routers, nowNanos);
      case RouterDirectoryEvent.TimePassed() -> expire(nowNanos);
    }
    List<RouterDirectoryEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  private void linked(String peer) {
    linked.add(peer);
    List<Instance> reached = new ArrayList<>();
    reached.add(self);
    linked.stream()
        .filter(known::containsKey)
        .forEach(name -> reached.add(known.get(name).instance()));
    effects.add(new RouterDirectoryEffect.Send(peer, new KnownRouters(reached)));
  }

  private void told(String sender, List<Instance> routers, long nowNanos) {
    List<Instance> news = new ArrayList<>();
    for (Instance router : routers) {
      if (!router.name().equals(self.name())) {
        Known before = known.put(router.name(), new Known(router, nowNanos));
        if (before == null || !before.instance().equals(router)) {
          news.add(router);
        }
      }
    }
    if (news.isEmpty()) {
      return;
    }
    for (String peer : linked) {
      if (!peer.equals(sender)) {
        effects.add(new RouterDirectoryEffect.Send(peer, new KnownRouters(news)));
      }
    }
    publish();
  }

  private void expire(long nowNanos) {
    linked.forEach(
        name ->
            known.computeIfPresent(name, (key, entry) -> new Known(entry.instance(), nowNanos)));
    if (known.values().removeIf(entry -> nowNanos - entry.heardNanos() > FORGET_NANOS)) {
      publish();
    }
  }

  private void publish() {
    effects.add(
        new RouterDirectoryEffect.Publish(known.values().stream().map(Known::instance).toList()));
  }
}

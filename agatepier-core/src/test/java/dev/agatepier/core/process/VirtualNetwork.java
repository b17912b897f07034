package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import java.util.HashMap;
import java.util.Map;

/**
 * Links between virtual processes. What one end sends keeps its order, also across a cut and the
 * next link; each end learns of a cut in its own time. Answers to routers are now and then lost or
 * repeated late. A message goes to whatever process the name stands for as it is sent.
 */
final class VirtualNetwork {

  static final int HOP_MILLIS = 30;

  private final VirtualTime time;
  private final Map<String, VirtualNode> nodes;
  private final boolean faulty;
  private final Map<Way, Ends> open = new HashMap<>();
  private final Map<Way, Long> lastDelivery = new HashMap<>();

  private record Way(String from, String to) {}

  private record Ends(PeerIdentity from, PeerIdentity to) {}

  VirtualNetwork(VirtualTime time, Map<String, VirtualNode> nodes, boolean faulty) {
    this.time = time;
    this.nodes = nodes;
    this.faulty = faulty;
  }

  void send(VirtualNode from, String to, LinkMessage message) {
    Ends ends = open.get(new Way(from.name, to));
    boolean answer = ends != null && faulty && ends.from().role() == Role.SIDECAR;
    if (ends == null || (answer && time.chance(0.01))) {
      return;
    }
    VirtualNode target = nodes.get(to);
    Runnable arrival = () -> target.arrived(ends.from(), message);
    deliver(ends, 0, arrival);
    if (answer && time.chance(0.05)) {
      time.after(time.draw(800), () -> target.act(ends.to().incarnation(), arrival));
    }
  }

  void link(VirtualNode one, VirtualNode other) {
    if (one.paused() || other.paused()) {
      time.after(100, () -> link(one, other));
    } else if (!open.containsKey(new Way(one.name, other.name))) {
      up(one, other);
      up(other, one);
    }
  }

  void cut(VirtualNode one, VirtualNode other) {
    if (open.containsKey(new Way(one.name, other.name))) {
      down(one, other);
      down(other, one);
      time.after(50 + time.draw(500), () -> link(one, other));
    }
  }

  void cutAll(VirtualNode node) {
    nodes.values().forEach(other -> cut(node, other));
  }

  private void up(VirtualNode from, VirtualNode to) {
    Ends ends = new Ends(from.peer(), to.peer());
    open.put(new Way(from.name, to.name), ends);
    deliver(ends, 0, () -> to.linked(ends.from()));
  }

  private void down(VirtualNode from, VirtualNode to) {
    Ends ends = open.remove(new Way(from.name, to.name));
    deliver(ends, time.chance(0.2) ? time.draw(1_500) : 0, () -> to.unlinked(ends.from()));
  }

  private void deliver(Ends ends, long moreMillis, Runnable body) {
    Way way = new Way(ends.from().instance(), ends.to().instance());
    long soonest = time.nowMillis() + 1 + time.draw(HOP_MILLIS) + moreMillis;
    long at = Math.max(soonest, lastDelivery.getOrDefault(way, 0L));
    lastDelivery.put(way, at);
    VirtualNode target = nodes.get(way.to());
    time.after(at - time.nowMillis(), () -> target.act(ends.to().incarnation(), body));
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import java.util.HashMap;
import java.util.Map;

/**
 * Links between simulated processes. Messages in one direction stay in order, also across a
 * disconnect and the next connection. Each end detects a disconnect at its own time. Messages from
 * sidecars to routers are sometimes lost, or duplicated late. A message is delivered to the process
 * that has the name at the time of sending.
 */
final class VirtualNetwork {

  static final int HOP_MILLIS = 30;

  private final VirtualTime time;
  private final Map<String, VirtualNode> nodes;
  private final boolean faulty;
  private final Map<Direction, Endpoints> open = new HashMap<>();
  private final Map<Direction, Long> lastDelivery = new HashMap<>();

  private record Direction(String from, String to) {}

  private record Endpoints(PeerIdentity from, PeerIdentity to) {}

  VirtualNetwork(VirtualTime time, Map<String, VirtualNode> nodes, boolean faulty) {
    this.time = time;
    this.nodes = nodes;
    this.faulty = faulty;
  }

  void send(VirtualNode from, String to, LinkMessage message) {
    Endpoints endpoints = open.get(new Direction(from.name, to));
    boolean fromSidecar = endpoints != null && faulty && endpoints.from().role() == Role.SIDECAR;
    if (endpoints == null || (fromSidecar && time.chance(0.01))) {
      return;
    }
    VirtualNode target = nodes.get(to);
    Runnable arrival = () -> target.onMessage(endpoints.from(), message);
    deliver(endpoints, 0, arrival);
    if (fromSidecar && time.chance(0.05)) {
      time.after(time.draw(800), () -> target.execute(endpoints.to().incarnation(), arrival));
    }
  }

  void link(VirtualNode one, VirtualNode other) {
    if (one.paused() || other.paused()) {
      time.after(100, () -> link(one, other));
    } else if (!open.containsKey(new Direction(one.name, other.name))) {
      connect(one, other);
      connect(other, one);
    }
  }

  void interrupt(VirtualNode one, VirtualNode other) {
    if (open.containsKey(new Direction(one.name, other.name))) {
      disconnect(one, other);
      disconnect(other, one);
      time.after(50 + time.draw(500), () -> link(one, other));
    }
  }

  void interruptAll(VirtualNode node) {
    nodes.values().forEach(other -> interrupt(node, other));
  }

  private void connect(VirtualNode from, VirtualNode to) {
    Endpoints endpoints = new Endpoints(from.peer(), to.peer());
    open.put(new Direction(from.name, to.name), endpoints);
    deliver(endpoints, 0, () -> to.onLinked(endpoints.from()));
  }

  private void disconnect(VirtualNode from, VirtualNode to) {
    Endpoints endpoints = open.remove(new Direction(from.name, to.name));
    deliver(
        endpoints, time.chance(0.2) ? time.draw(1_500) : 0, () -> to.onUnlinked(endpoints.from()));
  }

  private void deliver(Endpoints endpoints, long moreMillis, Runnable body) {
    Direction direction = new Direction(endpoints.from().instance(), endpoints.to().instance());
    long earliest = time.nowMillis() + 1 + time.draw(HOP_MILLIS) + moreMillis;
    long at = Math.max(earliest, lastDelivery.getOrDefault(direction, 0L));
    lastDelivery.put(direction, at);
    VirtualNode target = nodes.get(direction.to());
    time.after(at - time.nowMillis(), () -> target.execute(endpoints.to().incarnation(), body));
  }
}

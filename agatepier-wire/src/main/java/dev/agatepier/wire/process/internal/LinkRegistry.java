package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.version.PeerSender;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.ConcurrentHashMap;

/** Active links by instance name, and the traffic of all links since the process started. */
public final class LinkRegistry implements PeerSender {

  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final TrafficTotals closedLinks = new TrafficTotals();

  /** Adds a link, which replaces any earlier one to the same instance. */
  public void add(Link link) {
    links.put(link.peer().instance(), link);
  }

  /** Removes the link to a peer; ignored if it has been replaced. */
  public void remove(PeerIdentity peer) {
    Link link = links.get(peer.instance());
    if (link != null && link.peer().equals(peer) && links.remove(peer.instance(), link)) {
      closedLinks.add(link.counters());
    }
  }

  @Override
  public boolean send(String instance, LinkMessage message) {
    Link link = links.get(instance);
    return link != null && link.send(message);
  }

  /** Returns whether there is an active link to an instance. */
  public boolean isConnected(String instance) {
    return links.containsKey(instance);
  }

  /** Returns the names of the connected peers, sorted. */
  public List<String> peerNames() {
    return links.keySet().stream().sorted().toList();
  }

  /** Returns the bytes of all links by direction, message class and distance. */
  public SortedMap<String, Long> trafficBytes() {
    TrafficTotals totals = new TrafficTotals();
    totals.add(closedLinks);
    links.values().forEach(link -> totals.add(link.counters()));
    return totals.bytes();
  }
}

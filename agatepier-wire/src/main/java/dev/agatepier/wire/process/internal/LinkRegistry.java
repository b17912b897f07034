package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.version.PeerSender;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.ConcurrentHashMap;

/** The links in use, by instance name, and the traffic of all links since the process began. */
public final class LinkRegistry implements PeerSender {

  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final TrafficTotals closed = new TrafficTotals();

  /** Takes a link into use. */
  public void add(Link link) {
    links.put(link.peer().instance(), link);
  }

  /** Takes the link to a peer out of use. */
  public void remove(PeerIdentity peer) {
    Link link = links.get(peer.instance());
    if (link != null && link.peer().equals(peer) && links.remove(peer.instance(), link)) {
      closed.add(link.counters());
    }
  }

  @Override
  public boolean send(String instance, LinkMessage message) {
    Link link = links.get(instance);
    return link != null && link.send(message);
  }

  /** Returns whether there is a link to an instance. */
  public boolean isConnected(String instance) {
    return links.containsKey(instance);
  }

  /** Returns the names of the linked peers, sorted. */
  public List<String> peerNames() {
    return links.keySet().stream().sorted().toList();
  }

  /** Returns bytes by direction, kind and distance, over all links. */
  public SortedMap<String, Long> trafficBytes() {
    TrafficTotals totals = new TrafficTotals();
    totals.add(closed);
    links.values().forEach(link -> totals.add(link.counters()));
    return totals.bytes();
  }
}

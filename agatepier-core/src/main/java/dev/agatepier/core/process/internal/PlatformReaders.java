package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.Instance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tells by rendezvous hashing which live processes of a data centre watch the platform. */
public final class PlatformReaders {

  private final String instance;
  private final String dataCentre;
  private final int count;
  private final Map<String, PeerIdentity> linked = new HashMap<>();
  private final Set<String> draining = new HashSet<>();
  private List<Instance> listed = List.of();

  /**
   * Creates the ranking.
   *
   * @param instance name of the own instance
   * @param dataCentre data centre whose readers are chosen
   * @param count processes that are to watch
   */
  public PlatformReaders(String instance, String dataCentre, int count) {
    this.instance = instance;
    this.dataCentre = dataCentre;
    this.count = count;
  }

  /** Notes that a peer is linked. */
  public void link(PeerIdentity peer) {
    linked.put(peer.instance(), peer);
    draining.remove(peer.instance());
  }

  /** Notes that a link is gone, unless a newer process of that name is linked already. */
  public void unlink(PeerIdentity peer) {
    linked.remove(peer.instance(), peer);
  }

  /** Returns whether this very process of a peer is linked. */
  public boolean isConnected(PeerIdentity peer) {
    return peer.equals(linked.get(peer.instance()));
  }

  /** Returns whether any process of an instance is linked. */
  public boolean isConnected(String name) {
    return linked.containsKey(name);
  }

  /** Notes whether a peer is about to leave. */
  public void setDraining(String peer, boolean leaves) {
    if (leaves) {
      draining.add(peer);
    } else {
      draining.remove(peer);
    }
  }

  /** Takes a new instance list. */
  public void setInstances(List<Instance> instances) {
    listed = instances;
    draining.removeIf(name -> !linked.containsKey(name));
  }

  /**
   * Returns whether the own process watches the platform.
   *
   * @param settled whether links had time to come up, so that an unlinked instance counts as gone
   */
  public boolean isReader(boolean settled) {
    Set<String> live = linkedHere();
    if (!settled) {
      listed.stream()
          .filter(other -> other.dataCentre().equals(dataCentre) && !other.leaving())
          .map(Instance::name)
          .forEach(live::add);
    }
    live.add(instance);
    return RendezvousHash.sorted(dataCentre, live).stream().limit(count).anyMatch(instance::equals);
  }

  /** Returns the linked peers: first those of the own data centre, its readers before all. */
  public List<String> peersByRank() {
    Set<String> ranked = new LinkedHashSet<>(RendezvousHash.sorted(dataCentre, linkedHere()));
    ranked.addAll(linked.keySet());
    return List.copyOf(ranked);
  }

  private Set<String> linkedHere() {
    Set<String> here = new HashSet<>();
    linked.values().stream()
        .filter(peer -> peer.dataCentre().equals(dataCentre))
        .map(PeerIdentity::instance)
        .filter(name -> !draining.contains(name))
        .forEach(here::add);
    return here;
  }
}

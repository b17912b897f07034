package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.version.Instance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Selects by rendezvous hashing which live processes of a data centre watch the platform. */
public final class PlatformReaders {

  private final String instance;
  private final String dataCentre;
  private final int readerCount;
  private final Map<String, PeerIdentity> linked = new HashMap<>();
  private final Set<String> draining = new HashSet<>();
  private List<Instance> listed = List.of();

  /**
   * Creates a selection without peers.
   *
   * @param instance name of the own instance
   * @param dataCentre data centre whose readers are selected
   * @param readerCount number of processes that watch the platform
   */
  public PlatformReaders(String instance, String dataCentre, int readerCount) {
    this.instance = instance;
    this.dataCentre = dataCentre;
    this.readerCount = readerCount;
  }

  /** Adds a connected peer; it counts as not draining. */
  public void link(PeerIdentity peer) {
    linked.put(peer.instance(), peer);
    draining.remove(peer.instance());
  }

  /** Removes a disconnected peer, unless a newer process of that instance is connected already. */
  public void unlink(PeerIdentity peer) {
    linked.remove(peer.instance(), peer);
  }

  /** Returns whether exactly this incarnation of a peer is connected. */
  public boolean isConnected(PeerIdentity peer) {
    return peer.equals(linked.get(peer.instance()));
  }

  /** Returns whether any incarnation of an instance is connected. */
  public boolean isConnected(String name) {
    return linked.containsKey(name);
  }

  /** Sets whether a peer is draining. */
  public void setDraining(String peer, boolean isDraining) {
    if (isDraining) {
      draining.add(peer);
    } else {
      draining.remove(peer);
    }
  }

  /** Replaces the instance list. */
  public void setInstances(List<Instance> instances) {
    listed = instances;
    draining.removeIf(name -> !linked.containsKey(name));
  }

  /**
   * Returns whether this process watches the platform.
   *
   * @param settled whether links have had time to connect, so that an instance that is not
   *     connected counts as down
   */
  public boolean isReader(boolean settled) {
    Set<String> live = connectedInDataCentre();
    if (!settled) {
      listed.stream()
          .filter(other -> other.dataCentre().equals(dataCentre) && !other.leaving())
          .map(Instance::name)
          .forEach(live::add);
    }
    live.add(instance);
    return RendezvousHash.sorted(dataCentre, live).stream()
        .limit(readerCount)
        .anyMatch(instance::equals);
  }

  /** Returns the connected peers: those of the own data centre first, starting with its readers. */
  public List<String> peersByRank() {
    Set<String> ranked =
        new LinkedHashSet<>(RendezvousHash.sorted(dataCentre, connectedInDataCentre()));
    ranked.addAll(linked.keySet());
    return List.copyOf(ranked);
  }

  private Set<String> connectedInDataCentre() {
    Set<String> names = new HashSet<>();
    linked.values().stream()
        .filter(peer -> peer.dataCentre().equals(dataCentre))
        .map(PeerIdentity::instance)
        .filter(name -> !draining.contains(name))
        .forEach(names::add);
    return names;
  }
}

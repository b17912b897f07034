package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the slot allocator of a service in a data centre: rendezvous hashing over the routers
 * there that are connected and not stopping. A data centre without routers is served by another
 * one.
 */
public final class AllocatorSelection {

  private AllocatorSelection() {}

  /**
   * Returns the instance name of the slot allocator; empty if no router is in the data centre.
   * Routers with less than half of the largest capacity there are left out: all callers of the data
   * centre wait for its allocator.
   *
   * @param service name of the service
   * @param dataCentre data centre of the upstreams
   * @param routers connected routers that are not stopping
   */
  public static Optional<String> select(
      String service, String dataCentre, Collection<PeerIdentity> routers) {
    List<PeerIdentity> local =
        routers.stream().filter(router -> router.dataCentre().equals(dataCentre)).toList();
    int largest = local.stream().mapToInt(PeerIdentity::capacity).max().orElse(0);
    return RendezvousHash.choose(
        service + '\n' + dataCentre,
        local.stream()
            .filter(router -> 2 * router.capacity() >= largest)
            .map(PeerIdentity::instance)
            .toList());
  }

  /**
   * Returns the routers eligible as allocators: those not stopping, or all if every one is.
   *
   * @param connected connected routers, including this one
   * @param leaving instance names of routers that are stopping
   */
  public static List<PeerIdentity> candidates(
      Collection<PeerIdentity> connected, Set<String> leaving) {
    List<PeerIdentity> notLeaving =
        connected.stream().filter(router -> !leaving.contains(router.instance())).toList();
    return notLeaving.isEmpty() ? List.copyOf(connected) : notLeaving;
  }

  /**
   * Returns the data centre whose routers allocate the slots of a data centre: itself, or a
   * fallback if it has no routers.
   *
   * @param dataCentre data centre of the upstreams
   * @param routers connected routers, at least one
   */
  public static String responsibleDataCentre(String dataCentre, Collection<PeerIdentity> routers) {
    Set<String> withRouters = new TreeSet<>();
    routers.forEach(router -> withRouters.add(router.dataCentre()));
    return withRouters.contains(dataCentre)
        ? dataCentre
        : RendezvousHash.choose(dataCentre, withRouters).orElse(dataCentre);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses which router keeps the slots of a service in a data centre: by rendezvous hashing over
 * the routers there that are reached and stay. A data centre without routers is looked after by
 * another one.
 */
public final class AllocatorSelection {

  private AllocatorSelection() {}

  /**
   * Returns the instance name of the keeper.
   *
   * @param service name of the service
   * @param dataCentre data centre of the upstreams
   * @param routers routers that are reached and stay
   */
  public static Optional<String> select(
      String service, String dataCentre, Collection<PeerIdentity> routers) {
    return RendezvousHash.choose(
        service + '\n' + dataCentre,
        routers.stream()
            .filter(router -> router.dataCentre().equals(dataCentre))
            .map(PeerIdentity::instance)
            .toList());
  }

  /**
   * Returns the routers among which keepers are chosen: those that stay, or all if none does.
   *
   * @param reached routers that are reached, the own one among them
   * @param leaving instance names of routers that have begun to stop
   */
  public static List<PeerIdentity> candidates(
      Collection<PeerIdentity> reached, Set<String> leaving) {
    List<PeerIdentity> staying =
        reached.stream().filter(router -> !leaving.contains(router.instance())).toList();
    return staying.isEmpty() ? List.copyOf(reached) : staying;
  }

  /**
   * Returns the data centre that looks after the upstreams of a data centre.
   *
   * @param dataCentre data centre of the upstreams
   * @param routers routers that are reached, at least one
   */
  public static String responsibleDataCentre(String dataCentre, Collection<PeerIdentity> routers) {
    Set<String> staffed = new TreeSet<>();
    routers.forEach(router -> staffed.add(router.dataCentre()));
    return staffed.contains(dataCentre)
        ? dataCentre
        : RendezvousHash.choose(dataCentre, staffed).orElse(dataCentre);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses which router keeps the slots of a service in a data centre: by rendezvous hashing over
 * the routers there that are linked and stay. A data centre without routers is looked after by
 * another one.
 */
public final class KeeperChoice {

  private KeeperChoice() {}

  /**
   * Returns the instance name of the keeper.
   *
   * @param service name of the service
   * @param dataCentre data centre of the upstreams
   * @param routers routers that are reached and stay
   */
  public static Optional<String> keeper(
      String service, String dataCentre, Collection<PeerIdentity> routers) {
    List<String> candidates = new ArrayList<>();
    for (PeerIdentity router : routers) {
      if (router.dataCentre().equals(dataCentre)) {
        candidates.add(router.instance());
      }
    }
    return RendezvousHash.choose(service + '\n' + dataCentre, candidates);
  }

  /**
   * Returns the data centres whose upstreams a data centre looks after, itself among them.
   *
   * @param own the data centre
   * @param dataCentres data centres of all upstreams
   * @param routers routers that are reached and stay
   */
  public static Set<String> territory(
      String own, Collection<String> dataCentres, Collection<PeerIdentity> routers) {
    Set<String> staffed = new TreeSet<>();
    routers.forEach(router -> staffed.add(router.dataCentre()));
    staffed.add(own);
    Set<String> territory = new TreeSet<>();
    territory.add(own);
    for (String dataCentre : dataCentres) {
      if (!staffed.contains(dataCentre)) {
        if (RendezvousHash.choose(dataCentre, staffed).filter(own::equals).isPresent()) {
          territory.add(dataCentre);
        }
      }
    }
    return territory;
  }
}

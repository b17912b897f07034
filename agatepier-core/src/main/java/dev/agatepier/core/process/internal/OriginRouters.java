package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.StreamKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the routers that know which software version began a stream, by rendezvous hashing, in
 * different data centres as far as there are enough. A selected router stays selected while others
 * end.
 */
final class OriginRouters {

  /** Number of routers to which the origin of a stream is sent. */
  static final int HOLDERS = 3;

  /**
   * Number of routers that are asked: more than hold an origin, since routers that were not
   * connected to the one that sent it may rank before its receivers.
   */
  static final int ASKED = 8;

  private OriginRouters() {}

  /** Returns the names of at most {@code count} connected routers, best rank first. */
  static List<String> select(StreamKey key, Collection<PeerIdentity> connected, int count) {
    List<PeerIdentity> ranked =
        RendezvousHash.sorted(key.toString(), connected, router -> 0, PeerIdentity::instance);
    Set<String> dataCentres = new HashSet<>();
    List<String> selected = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (PeerIdentity router : ranked) {
      boolean first = dataCentres.add(router.dataCentre());
      (first ? selected : others).add(router.instance());
    }
    selected.addAll(others);
    return List.copyOf(selected.subList(0, Math.min(count, selected.size())));
  }
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.connection.LinkEvents;
import java.util.HashMap;
import java.util.Map;

/** Knows the one link in use to each peer and tells of links and messages in order. */
public final class LinkDirectory {

  private final LinkEvents events;
  private final Map<String, Link> inUse = new HashMap<>();

  /** Creates a directory without links. */
  public LinkDirectory(LinkEvents events) {
    this.events = events;
  }

  /**
   * Takes a link into use in place of an older one of the same instance.
   *
   * @return false if the instance is already linked by a newer incarnation
   */
  synchronized boolean linked(Link link) {
    String instance = link.peer().instance();
    Link older = inUse.get(instance);
    if (older != null) {
      if (older.peer().incarnation() > link.peer().incarnation()) {
        return false;
      }
      unlinked(older, "replaced");
      older.close("replaced");
    }
    inUse.put(instance, link);
    events.linked(link.peer(), link);
    return true;
  }

  /** Hands a message on; one of a link that is no longer in use is dropped. */
  synchronized boolean message(Link link, LinkMessage message) {
    return inUse.get(link.peer().instance()) != link || events.message(link.peer(), message);
  }

  /** Takes a link out of use; does nothing if it is not in use. */
  synchronized void unlinked(Link link, String reason) {
    if (inUse.remove(link.peer().instance(), link)) {
      events.unlinked(link.peer(), reason);
    }
  }
}

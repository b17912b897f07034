package dev.agatepier.wire.connection.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The open connections of a port. At their maximum, a new one displaces the connection that made no
 * progress for longest, first of addresses that have more than a quarter of all; a connection whose
 * request the fleet works on is not displaced. Runs on one event loop.
 */
public final class OpenConnections<C extends OpenConnections.Entry> {

  /** Divisor of the maximum that gives the share of one address. */
  private static final int ADDRESS_DIVISOR = 4;

  private final int maximum;
  private final CallerLimit limit;
  private final LimitIncidents incidents;
  private final Set<C> open = new HashSet<>();
  private final Map<String, Integer> byAddress = new HashMap<>();

  /** An open connection. */
  public interface Entry {

    /** Returns the account of the connection, with its address and its progress. */
    ConnectionMemory memory();

    /** Returns whether the connection waits for its caller. */
    boolean displaceable();

    /** Closes the connection at once. */
    void close();
  }

  /**
   * Creates the collection.
   *
   * @param maximum largest number of open connections
   * @param limit name of the maximum in logs and metrics
   */
  public OpenConnections(int maximum, CallerLimit limit, LimitIncidents incidents) {
    this.maximum = maximum;
    this.limit = limit;
    this.incidents = incidents;
  }

  /** Returns whether a new connection of an address may be opened; closes another one if needed. */
  public boolean makeRoom(String address) {
    if (open.size() < maximum) {
      return true;
    }
    incidents.record(limit, address);
    C victim = selectVictim();
    boolean displaces =
        victim != null && (exceedsShare(victim.memory().address()) || !exceedsShare(address));
    if (displaces) {
      victim.close();
      remove(victim);
    }
    return displaces;
  }

  /**
   * Returns the connection to displace, or null; looks at each one only once, as there are many.
   */
  private C selectVictim() {
    C victim = null;
    boolean victimExceeds = false;
    for (C connection : open) {
      if (!connection.displaceable()) {
        continue;
      }
      boolean exceeds = exceedsShare(connection.memory().address());
      boolean precedes =
          victim == null
              || (exceeds == victimExceeds
                  ? connection.memory().progressNanos() - victim.memory().progressNanos() < 0
                  : exceeds);
      if (precedes) {
        victim = connection;
        victimExceeds = exceeds;
      }
    }
    return victim;
  }

  private boolean exceedsShare(String address) {
    return byAddress.getOrDefault(address, 0) > maximum / ADDRESS_DIVISOR;
  }

  /** Adds an open connection. */
  public void add(C connection) {
    if (open.add(connection)) {
      byAddress.merge(connection.memory().address(), 1, Integer::sum);
    }
  }

  /** Removes a closed connection; does nothing if it was removed before. */
  public void remove(C connection) {
    if (open.remove(connection)) {
      byAddress.computeIfPresent(
          connection.memory().address(), (name, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Calls an action for each open connection, which the action may close. */
  public void forEach(Consumer<C> action) {
    List.copyOf(open).forEach(action);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.request.RequestId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The highest virtual service of a workspace that recently got a slot, by data centre. A workspace
 * with less precedes that one there in the fair order. So a request that is rejected in one data
 * centre is sent to one whose level is above the virtual service of its workspace.
 */
final class ServedLevels {

  /** Time for which the level of another data centre is valid; it is reported more often. */
  private static final long VALIDITY_NANOS = 1_000_000_000L;

  private final Map<String, ReceivedLevel> received = new HashMap<>();
  private Interval current = Interval.NONE;
  private Interval previous = Interval.NONE;

  /** Highest virtual service that got a slot between two reports, and whether any was rejected. */
  private record Interval(double highestGranted, boolean rejected) {
    static final Interval NONE = new Interval(0, false);

    Interval join(Interval other) {
      return new Interval(
          Math.max(highestGranted, other.highestGranted), rejected || other.rejected);
    }
  }

  /** The level that another data centre reported, and when it was received. */
  private record ReceivedLevel(double virtualService, long receivedNanos) {}

  /** Records that a request of a workspace got a slot. */
  void recordGranted(double virtualService) {
    current = current.join(new Interval(virtualService, false));
  }

  /** Records that a request was rejected because of others. */
  void recordRejected() {
    current = current.join(new Interval(0, true));
  }

  /** Returns the level of this data centre during the last two reports, and begins the next. */
  double takeLevel() {
    Interval recent = current.join(previous);
    previous = current;
    current = Interval.NONE;
    return recent.rejected ? recent.highestGranted : AllocatorCosts.ALL_SERVED;
  }

  /** Records the level that another data centre reports. */
  void recordLevel(String dataCentre, double virtualService, long nowNanos) {
    received.put(dataCentre, new ReceivedLevel(virtualService, nowNanos));
  }

  /**
   * Returns a data centre that probably serves a request in time, one of several by the request's
   * identity; empty if there is none.
   *
   * @param virtualService virtual service of its workspace
   * @param dataCentres the other data centres that have upstreams
   */
  Optional<String> alternative(
      RequestId request, double virtualService, Collection<String> dataCentres, long nowNanos) {
    return RendezvousHash.choose(
        request.toString(),
        dataCentres.stream().filter(name -> virtualService < level(name, nowNanos)).toList());
  }

  private double level(String dataCentre, long nowNanos) {
    ReceivedLevel level = received.get(dataCentre);
    return level == null || nowNanos - level.receivedNanos() > VALIDITY_NANOS
        ? AllocatorCosts.ALL_SERVED
        : level.virtualService();
  }
}

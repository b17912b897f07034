package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.process.Room;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Determines which upstreams of a service each request may get, and what it takes there. */
final class UsableUpstreams {

  private final SlotRule rule;
  private final Collection<UpstreamLoad> upstreams;
  private final ColdUpstreams coldUpstreams;
  private final AllocatorRegions regions;

  UsableUpstreams(SlotRule rule, ServiceUpstreams upstreams, AllocatorRegions regions) {
    this.rule = rule;
    this.upstreams = upstreams.all();
    this.coldUpstreams = upstreams.cold();
    this.regions = regions;
  }

  /** Returns all upstreams, also those that are not usable. */
  Collection<UpstreamLoad> all() {
    return upstreams;
  }

  static boolean isUsable(UpstreamLoad upstream, long nowNanos) {
    return upstream.availability().state(nowNanos).usable();
  }

  /** Returns whether an upstream is usable and permitted. */
  boolean isUsable(UpstreamLoad upstream, UpstreamRequirements requirements, long nowNanos) {
    return isPermitted(upstream, requirements) && isUsable(upstream, nowNanos);
  }

  /** Returns whether an upstream is usable for a request: permitted, no pause for its router. */
  boolean isUsable(UpstreamLoad upstream, WaitingEntry entry, long nowNanos) {
    return isPermitted(upstream, entry.requirements)
        && upstream.availability(entry.router).state(nowNanos).usable();
  }

  /**
   * Returns whether an upstream may be granted to a request now. A stream is not continued where a
   * process of another software version may have started.
   */
  boolean isGrantable(UpstreamLoad upstream, WaitingEntry entry, long nowNanos) {
    return isUsable(upstream, entry, nowNanos)
        && !(entry.continuesStream() && upstream.continuity.mayBeReplaced(nowNanos));
  }

  boolean isPermitted(UpstreamLoad upstream, UpstreamRequirements requirements) {
    return regions.permits(requirements, upstream.upstream);
  }

  /**
   * Returns whether a request may run on none of the listed upstreams that are not leaving. Routers
   * move requests away from evacuated data centres themselves, so evacuations do not count.
   */
  boolean isUnpermitted(WaitingEntry entry) {
    return !entry.requirements.none()
        && upstreams.stream()
            .noneMatch(
                upstream ->
                    !upstream.upstream.leaving() && isPermitted(upstream, entry.requirements));
  }

  /** Returns the number of usable upstreams that are permitted. */
  int count(UpstreamRequirements requirements, long nowNanos) {
    int usable = 0;
    for (UpstreamLoad upstream : upstreams) {
      usable += isUsable(upstream, requirements, nowNanos) ? 1 : 0;
    }
    return usable;
  }

  /** Returns the number of usable upstreams that have a free slot and memory for a request. */
  int countWithCapacity(WaitingEntry entry, long nowNanos) {
    return (int)
        upstreams.stream()
            .filter(
                upstream ->
                    isUsable(upstream, entry, nowNanos)
                        && rule.hasCapacity(upstream, entry.call, nowNanos))
            .count();
  }

  /**
   * Returns the room of the usable upstreams that are permitted, without those that are cold: their
   * rate is what limits requests to them.
   */
  Room room(UpstreamRequirements requirements, long nowNanos) {
    Room room = Room.NONE;
    for (UpstreamLoad upstream : upstreams) {
      if (isUsable(upstream, requirements, nowNanos) && !coldUpstreams.isCold(upstream, nowNanos)) {
        room = room.plus(rule.room(upstream, nowNanos));
      }
    }
    return room;
  }

  /** Returns the time to the first byte at the best upstream without backlog, in milliseconds. */
  double minFirstByteMillis(WaitingEntry entry, long nowNanos) {
    double min = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      if (isUsable(upstream, entry, nowNanos)) {
        min = Math.min(min, firstByteMillis(upstream, entry, nowNanos));
      }
    }
    return min == Double.MAX_VALUE ? 0 : min;
  }

  /** Returns the time to the first byte without backlog, which is longer at a cold upstream. */
  double firstByteMillis(UpstreamLoad upstream, WaitingEntry entry, long nowNanos) {
    double millis = rule.firstByteMillis(upstream, entry.call);
    return coldUpstreams.isCold(upstream, nowNanos)
        ? Math.max(millis, coldUpstreams.requestMillis())
        : millis;
  }

  /**
   * Returns the measured capacity of the usable upstreams, if there are any.
   *
   * @param always whether it is returned although no estimate of load counts
   */
  Optional<MeasuredCapacity> measuredCapacity(boolean always, long nowNanos) {
    List<UpstreamLoad> usable =
        upstreams.stream().filter(upstream -> isUsable(upstream, nowNanos)).toList();
    return always && !usable.isEmpty() || usable.stream().anyMatch(UpstreamLoad::usesEstimate)
        ? Optional.of(rule.capacity(usable))
        : Optional.empty();
  }
}

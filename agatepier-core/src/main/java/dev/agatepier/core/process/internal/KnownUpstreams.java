package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The upstreams that a router may call, with what they have said in their responses. */
final class KnownUpstreams {

  /** Shortest time after which a request that no upstream can serve may be repeated. */
  private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;

  /** Time over which such requests are spread, so that they do not return at once. */
  private static final long RETRY_SPREAD_MILLIS = 1_000;

  private Map<String, DirectUpstream> upstreams = Map.of();
  private Map<String, List<DirectUpstream>> byService = Map.of();
  private boolean listed;
  private Set<String> evacuated = Set.of();

  /** Upstreams with a notice, which may be over; there are few, so that each request can ask. */
  private List<DirectUpstream> noticed = List.of();

  /** Replaces the upstreams by those of a version of the instance list. */
  void update(InstanceList list) {
    Map<String, DirectUpstream> newer = new HashMap<>();
    for (Upstream entry : list.upstreams()) {
      DirectUpstream known = upstreams.get(entry.name());
      DirectUpstream direct = known;
      if (known == null) {
        direct = new DirectUpstream(entry, new UpstreamNotices(entry.incarnation()));
      } else if (known.notices().isBefore(known.upstream(), entry)) {
        direct = new DirectUpstream(entry, new UpstreamNotices(entry.incarnation()));
      } else if (known.upstream().incarnation() != entry.incarnation()
          || !known.upstream().softwareVersion().equals(entry.softwareVersion())) {
        direct = new DirectUpstream(entry, known.notices());
      }
      if (known != null && !known.upstream().softwareVersion().equals(entry.softwareVersion())) {
        known.onVersionReplaced();
      }
      direct.update(entry);
      newer.put(entry.name(), direct);
    }
    upstreams = newer;
    byService =
        newer.values().stream()
            .collect(Collectors.groupingBy(direct -> direct.upstream().service()));
    listed = true;
    evacuated = list.evacuated();
    updateNoticed();
  }

  /** Returns whether an instance list is known. */
  boolean listed() {
    return listed;
  }

  /** Returns an upstream by name; null if it is not listed. */
  DirectUpstream find(String name) {
    return upstreams.get(name);
  }

  /** Returns what is known of an upstream, which may be null. */
  UpstreamAvailability availability(DirectUpstream direct) {
    return direct == null
        ? UpstreamAvailability.GONE
        : UpstreamAvailability.ofEntry(
                direct.upstream(), evacuated.contains(direct.upstream().dataCentre()))
            .withNotices(direct.notices().leaving(), direct.notices().pausedUntilNanos());
  }

  /**
   * Applies a notice of an upstream.
   *
   * @param sender entry of the upstream when the request was sent to it
   * @return whether it still is the same incarnation
   */
  boolean onNotice(Upstream sender, UpstreamNotice notice, long nowNanos) {
    DirectUpstream direct = upstreams.get(sender.name());
    if (direct == null
        || direct.notices().incarnation() != sender.incarnation()
        || direct.notices().isBefore(sender, direct.upstream())) {
      return false;
    }
    direct.notices().apply(notice, nowNanos);
    updateNoticed();
    return true;
  }

  /** Returns the upstreams whose notices keep requests away now. */
  List<DirectUpstream> noticed(long nowNanos) {
    return noticed.stream().filter(direct -> direct.notices().active(nowNanos)).toList();
  }

  /** Records that an allocator does not know of the notices any more. */
  void clearReported(String allocator) {
    noticed.forEach(direct -> direct.notices().clearReported(allocator));
  }

  /**
   * Returns whether evacuations or notices may keep requests of a service away from data centres
   * that have routers.
   */
  boolean restricts(String service, long nowNanos) {
    return !evacuated.isEmpty()
        || noticed.stream()
            .filter(direct -> direct.upstream().service().equals(service))
            .anyMatch(direct -> direct.notices().active(nowNanos));
  }

  /** Returns the places in which a service has usable upstreams. */
  Stream<UpstreamPlace> usablePlaces(String service, long nowNanos) {
    return ofService(service)
        .filter(direct -> availability(direct).state(nowNanos).usable())
        .map(direct -> UpstreamPlace.of(direct.upstream()))
        .distinct();
  }

  /** Returns whether evacuations or notices leave a service without any usable upstream. */
  boolean isWithoutUpstreams(String service, long nowNanos) {
    return restricts(service, nowNanos) && usablePlaces(service, nowNanos).findAny().isEmpty();
  }

  /**
   * Returns when to repeat a request that no upstream can serve, in milliseconds: when the first
   * pause ends, if any does, and each request at another time.
   *
   * @param permitted the data centres in which the request may be processed
   */
  long retryAfterMillis(
      String service, Predicate<String> permitted, RequestId request, long nowNanos) {
    long firstMillis =
        ofService(service)
            .filter(direct -> permitted.test(direct.upstream().dataCentre()))
            .filter(direct -> availability(direct).state(nowNanos) == UpstreamState.PAUSED)
            .mapToLong(direct -> direct.notices().pauseMillis(nowNanos))
            .min()
            .orElse(MINIMUM_RETRY_AFTER_MILLIS);
    return firstMillis + Math.floorMod(request.hashCode(), RETRY_SPREAD_MILLIS);
  }

  /** Returns the IP addresses of the listed upstreams of a service. */
  Stream<String> addresses(String service) {
    return ofService(service).map(direct -> direct.upstream().address()).distinct();
  }

  private void updateNoticed() {
    noticed = upstreams.values().stream().filter(direct -> direct.notices().any()).toList();
  }

  private Stream<DirectUpstream> ofService(String service) {
    return byService.getOrDefault(service, List.of()).stream();
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Upstream;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The software versions that the upstreams of each service have, and when others were last listed.
 */
final class RecentSoftwareVersions {

  /** Time for which a version that is no longer listed is kept. */
  private static final long RETENTION_NANOS = 3_600_000_000_000L;

  /** Maximum age of the confirmation of the list; a few times the duration of a watch. */
  private static final long CONFIRMATION_NANOS = 5_000_000_000L;

  /** Number of software versions in a reply: a second one already proves that there are several. */
  private static final int REPORTED_VERSIONS = 2;

  private final Map<String, Set<String>> listed = new HashMap<>();
  private final Map<String, Map<String, Long>> lastListedNanos = new HashMap<>();
  private boolean listReceived;
  private long confirmedNanos;
  private boolean confirmed;

  /** Time since which lists have been received without a gap. */
  private long receivingSinceNanos;

  /** Time before that of which all versions are known. */
  private long historyNanos;

  /** Start of the last read of all upstreams from the platform. */
  private long upstreamsReadNanos;

  private boolean upstreamsRead;

  /** Handles a list of upstreams. */
  void onListActivated(Collection<Upstream> upstreams, long nowNanos) {
    if (!listReceived) {
      listReceived = true;
      receivingSinceNanos = nowNanos;
    }
    listed.forEach(
        (service, versions) ->
            versions.forEach(version -> recordListed(service, version, nowNanos)));
    listed.clear();
    for (Upstream upstream : upstreams) {
      listed
          .computeIfAbsent(upstream.service(), service -> new HashSet<>())
          .add(upstream.softwareVersion());
    }
    lastListedNanos
        .values()
        .forEach(versions -> versions.values().removeIf(last -> nowNanos - last > RETENTION_NANOS));
    lastListedNanos.values().removeIf(Map::isEmpty);
  }

  /**
   * Adds what was read about the time before the first list. When a version was last listed is
   * unknown, so each counts as listed until then.
   */
  void addHistory(SoftwareVersionHistory history) {
    historyNanos = TimeUnit.MILLISECONDS.toNanos(history.reachMillis());
    history
        .versionsByService()
        .forEach(
            (service, versions) ->
                versions.forEach(version -> recordListed(service, version, receivingSinceNanos)));
  }

  /** Handles the upstreams that the platform had at a time, which the list may not contain yet. */
  void onUpstreamsRead(Collection<Upstream> upstreams, long startedNanos) {
    for (Upstream upstream : upstreams) {
      recordListed(upstream.service(), upstream.softwareVersion(), startedNanos);
    }
    upstreamsRead = true;
    upstreamsReadNanos = startedNanos;
  }

  /** Returns whether all upstreams were read from the platform after a time. */
  boolean wereUpstreamsReadAfter(long nanos) {
    return upstreamsRead && upstreamsReadNanos - nanos >= 0;
  }

  /** Returns the software versions that a service is known to have had in the last nanoseconds. */
  SortedSet<String> within(String service, long nanos, long nowNanos) {
    SortedSet<String> versions = new TreeSet<>(listed.getOrDefault(service, Set.of()));
    lastListedNanos
        .getOrDefault(service, Map.of())
        .forEach(
            (version, last) -> {
              if (nowNanos - last <= nanos) {
                versions.add(version);
              }
            });
    return versions;
  }

  /** Returns those that a reply to another router names. */
  List<String> reported(String service, long nanos, long nowNanos) {
    return within(service, nanos, nowNanos).stream().limit(REPORTED_VERSIONS).toList();
  }

  /** Records that the list was the newest at a time. Versions may have come and gone in a gap. */
  void onListConfirmed(long nanos) {
    if (confirmed && nanos - confirmedNanos > CONFIRMATION_NANOS) {
      receivingSinceNanos = nanos;
      historyNanos = 0;
    }
    if (!confirmed || nanos - confirmedNanos > 0) {
      confirmed = true;
      confirmedNanos = nanos;
    }
  }

  /**
   * Returns whether all software versions of the last nanoseconds are known. The list must have
   * been confirmed recently: a process that was suspended or cut off may have missed a version.
   */
  boolean isComplete(long nanos, long nowNanos) {
    return listReceived
        && confirmed
        && nowNanos - confirmedNanos <= CONFIRMATION_NANOS
        && nowNanos - receivingSinceNanos >= nanos - historyNanos;
  }

  /**
   * Returns the time since the start of the read that last confirmed the list, or -1 if none has.
   */
  long listAgeNanos(long nowNanos) {
    return confirmed ? nowNanos - confirmedNanos : -1;
  }

  private void recordListed(String service, String version, long nanos) {
    lastListedNanos
        .computeIfAbsent(service, name -> new HashMap<>())
        .merge(version, nanos, Math::max);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Fingerprint;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the fingerprints of requests that ran while upstreams crashed, and refuses a fingerprint
 * after too many crashes.
 */
final class Quarantine {

  /** Maximum number of fingerprints recorded. */
  private static final int CAPACITY = 4_096;

  /** Maximum number of crashes recorded per fingerprint. */
  private static final int CRASH_CAPACITY = 32;

  /**
   * Crashes are kept for this many quarantine periods, so that an old report from a peer does not
   * count as a new one.
   */
  private static final int RETENTION_PERIODS = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final int maximumCrashes;
  private final long minimumGapNanos;
  private final long quarantineNanos;

  private final Map<Fingerprint, Suspect> suspects =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Suspect> eldest) {
          return size() > CAPACITY;
        }
      };

  /** A crash, however many fingerprints it is attributed to. */
  record Crash(String sidecar, long incarnation, long number) {}

  /**
   * Crashes attributed to one fingerprint. A cleared crash does not count, but is kept to recognise
   * repeated reports.
   */
  private static final class Suspect {
    private final Map<Crash, Suspicion> counted = new LinkedHashMap<>();
    private final Map<Crash, Suspicion> cleared = new LinkedHashMap<>();
    private long lastNanos;

    private boolean isWithin(long gapNanos, long nowNanos) {
      return !counted.isEmpty() && nowNanos - lastNanos < gapNanos;
    }

    private void retire() {
      cleared.putAll(counted);
      counted.clear();
      while (cleared.size() > CRASH_CAPACITY) {
        cleared.remove(cleared.keySet().iterator().next());
      }
    }
  }

  /**
   * Creates an empty quarantine.
   *
   * @param minimumGapNanos time after a crash in which another one of the same fingerprint does not
   *     count, because one event, such as a network failure, may look like several crashes
   */
  Quarantine(RouterPolicy policy, long minimumGapNanos) {
    this(policy, policy.quarantineDeaths(), minimumGapNanos);
  }

  /**
   * Creates an empty quarantine.
   *
   * @param maximumCrashes number of crashes after which a fingerprint is refused
   */
  Quarantine(RouterPolicy policy, int maximumCrashes, long minimumGapNanos) {
    this.minimumGapNanos = minimumGapNanos;
    this.maximumCrashes = maximumCrashes;
    quarantineNanos = policy.quarantineMillis() * NANOS_PER_MILLI;
  }

  /**
   * Adds reports, and returns those that were not known. Several reports of one fingerprint are
   * what a peer has counted, so that they all count here.
   */
  List<Suspicion> addReports(List<Suspicion> reports, long nowNanos) {
    List<Suspicion> added = new ArrayList<>();
    Set<Fingerprint> countedNow = new HashSet<>();
    for (Suspicion report : reports) {
      Suspect suspect = suspects.getOrDefault(report.fingerprint(), new Suspect());
      Crash crash = new Crash(report.sidecar(), report.incarnation(), report.crashNumber());
      boolean known = suspect.counted.containsKey(crash) || suspect.cleared.containsKey(crash);
      if (!known && nowNanos - suspect.lastNanos >= quarantineNanos) {
        suspect.retire();
      }
      if (!known
          && !countedNow.contains(report.fingerprint())
          && suspect.isWithin(minimumGapNanos, nowNanos)) {
        suspect.cleared.put(crash, report);
        added.add(report);
      } else if (!known && suspect.counted.size() < Math.max(CRASH_CAPACITY, maximumCrashes)) {
        countedNow.add(report.fingerprint());
        suspect.counted.put(crash, report);
        suspect.lastNanos = nowNanos;
        suspects.remove(report.fingerprint());
        suspects.put(report.fingerprint(), suspect);
        added.add(report);
      }
    }
    return added;
  }

  /** Returns the reports that count now. */
  List<Suspicion> activeReports(long nowNanos) {
    return suspects.keySet().stream()
        .filter(fingerprint -> crashCount(fingerprint, nowNanos) > 0)
        .flatMap(fingerprint -> suspects.get(fingerprint).counted.values().stream())
        .toList();
  }

  /** Returns the fingerprints that at least so many crashes count against now. */
  List<Fingerprint> withCrashes(int minimum, long nowNanos) {
    return suspects.keySet().stream()
        .filter(fingerprint -> crashCount(fingerprint, nowNanos) >= minimum)
        .toList();
  }

  /** Returns the crashes that count against a fingerprint now. */
  Set<Crash> crashes(Fingerprint fingerprint, long nowNanos) {
    return crashCount(fingerprint, nowNanos) == 0
        ? Set.of()
        : Collections.unmodifiableSet(suspects.get(fingerprint).counted.keySet());
  }

  /** Returns how many crashes count against a fingerprint now. */
  int crashCount(Fingerprint fingerprint, long nowNanos) {
    Suspect suspect = suspects.get(fingerprint);
    boolean counts = suspect != null && nowNanos - suspect.lastNanos < quarantineNanos;
    return counts ? suspect.counted.size() : 0;
  }

  /** Returns whether a request must not be attempted again. */
  boolean isQuarantined(RoutedRequest request, long nowNanos) {
    return Math.max(request.crashes, crashCount(request.fingerprint(), nowNanos)) >= maximumCrashes;
  }

  /** Returns whether a new request with this fingerprint must be refused. */
  boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    return crashCount(fingerprint, nowNanos) >= maximumCrashes;
  }

  /** Returns whether a request must run exclusively. */
  boolean isSuspect(RoutedRequest request, long nowNanos) {
    return request.crashes > 0 || crashCount(request.fingerprint(), nowNanos) > 0;
  }

  /** Returns when the last crash of a recorded fingerprint was. */
  long lastCrashNanos(Fingerprint fingerprint) {
    return suspects.get(fingerprint).lastNanos;
  }

  /** Returns the remaining quarantine of a recorded fingerprint, in milliseconds; at least 1. */
  long millisLeft(Fingerprint fingerprint, long nowNanos) {
    long sinceNanos = nowNanos - suspects.get(fingerprint).lastNanos;
    return Math.max(1, (quarantineNanos - sinceNanos) / NANOS_PER_MILLI);
  }

  /**
   * Clears the crashes of a fingerprint after a request completed that cannot have crashed its
   * upstream.
   *
   * @return whether there were any
   */
  boolean clear(Fingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    boolean suspected = suspect != null && !suspect.counted.isEmpty();
    if (suspected) {
      suspect.retire();
    }
    return suspected;
  }

  /** Returns whether no fingerprint is recorded. */
  boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Drops the fingerprints whose last crash is older than the retention time. */
  void expire(long nowNanos) {
    long oldest = nowNanos - RETENTION_PERIODS * quarantineNanos;
    while (!suspects.isEmpty() && suspects.values().iterator().next().lastNanos < oldest) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }
}

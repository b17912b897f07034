package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Fingerprint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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

  private final int maximumDeaths;
  private final long quarantineNanos;

  private final Map<Fingerprint, Suspect> suspects =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Suspect> eldest) {
          return size() > CAPACITY;
        }
      };

  private record Death(String sidecar, long incarnation, long number) {}

  /**
   * Crashes attributed to one fingerprint. A cleared crash does not count, but is kept to recognise
   * repeated reports.
   */
  private static final class Suspect {
    private final Map<Death, Suspicion> counted = new LinkedHashMap<>();
    private final Map<Death, Suspicion> cleared = new LinkedHashMap<>();
    private long lastNanos;

    private void retire() {
      cleared.putAll(counted);
      counted.clear();
      while (cleared.size() > CRASH_CAPACITY) {
        cleared.remove(cleared.keySet().iterator().next());
      }
    }
  }

  Quarantine(RouterPolicy policy) {
    maximumDeaths = policy.quarantineDeaths();
    quarantineNanos = policy.quarantineMillis() * NANOS_PER_MILLI;
  }

  /** Adds reports, and returns those that were not known. */
  List<Suspicion> addReports(List<Suspicion> reports, long nowNanos) {
    List<Suspicion> added = new ArrayList<>();
    for (Suspicion report : reports) {
      Suspect suspect = suspects.getOrDefault(report.fingerprint(), new Suspect());
      Death death = new Death(report.sidecar(), report.incarnation(), report.crashNumber());
      boolean known = suspect.counted.containsKey(death) || suspect.cleared.containsKey(death);
      if (!known && nowNanos - suspect.lastNanos >= quarantineNanos) {
        suspect.retire();
      }
      if (!known && suspect.counted.size() < Math.max(CRASH_CAPACITY, maximumDeaths)) {
        suspect.counted.put(death, report);
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
        .filter(fingerprint -> deaths(fingerprint, nowNanos) > 0)
        .flatMap(fingerprint -> suspects.get(fingerprint).counted.values().stream())
        .toList();
  }

  /** Returns how many crashes count against a fingerprint now. */
  int deaths(Fingerprint fingerprint, long nowNanos) {
    Suspect suspect = suspects.get(fingerprint);
    boolean counts = suspect != null && nowNanos - suspect.lastNanos < quarantineNanos;
    return counts ? suspect.counted.size() : 0;
  }

  /** Returns whether a request must not be attempted again. */
  boolean isQuarantined(RoutedRequest request, long nowNanos) {
    return Math.max(request.deaths, deaths(request.fingerprint(), nowNanos)) >= maximumDeaths;
  }

  /** Returns whether a new request with this fingerprint must be refused. */
  boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    return deaths(fingerprint, nowNanos) >= maximumDeaths;
  }

  /** Returns whether a request must run exclusively. */
  boolean isSuspect(RoutedRequest request, long nowNanos) {
    return request.deaths > 0 || deaths(request.fingerprint(), nowNanos) > 0;
  }

  /** Returns the remaining quarantine of a recorded fingerprint, in milliseconds; at least 1. */
  long millisLeft(Fingerprint fingerprint, long nowNanos) {
    long sinceNanos = nowNanos - suspects.get(fingerprint).lastNanos;
    return Math.max(1, (quarantineNanos - sinceNanos) / NANOS_PER_MILLI);
  }

  /** Clears the crashes of a fingerprint after a request completed while running exclusively. */
  void clear(Fingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.retire();
    }
  }

  /** Drops the fingerprints whose last crash is older than the retention time. */
  void expire(long nowNanos) {
    long oldest = nowNanos - RETENTION_PERIODS * quarantineNanos;
    while (!suspects.isEmpty() && suspects.values().iterator().next().lastNanos < oldest) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }
}

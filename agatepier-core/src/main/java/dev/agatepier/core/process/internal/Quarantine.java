package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Fingerprint;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Remembers which requests ran while upstreams died. */
final class Quarantine {

  /** Most fingerprints remembered. */
  private static final int CAPACITY = 4_096;

  /** Most deaths remembered of one fingerprint. */
  private static final int DEATHS_CAPACITY = 32;

  /**
   * Deaths are recognised for this many times the quarantine, so that an old report from a peer
   * does not count as new.
   */
  private static final int RECOGNISED_TIMES = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final int mostDeaths;
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

  /** Deaths of one fingerprint; a cleared death is recognised but does not count. */
  private static final class Suspect {
    private final Map<Death, Suspicion> counted = new LinkedHashMap<>();
    private final Map<Death, Suspicion> cleared = new LinkedHashMap<>();
    private long lastNanos;

    private void retire() {
      cleared.putAll(counted);
      counted.clear();
      while (cleared.size() > DEATHS_CAPACITY) {
        cleared.remove(cleared.keySet().iterator().next());
      }
    }
  }

  Quarantine(RouterPolicy policy) {
    mostDeaths = policy.quarantineDeaths();
    quarantineNanos = policy.quarantineMillis() * NANOS_PER_MILLI;
  }

  /** Adds reports and returns those that were new. */
  List<Suspicion> addReports(List<Suspicion> reports, long nowNanos) {
    List<Suspicion> news = new ArrayList<>();
    for (Suspicion report : reports) {
      Suspect suspect = suspects.getOrDefault(report.fingerprint(), new Suspect());
      Death death = new Death(report.sidecar(), report.incarnation(), report.crashNumber());
      boolean known = suspect.counted.containsKey(death) || suspect.cleared.containsKey(death);
      if (!known && nowNanos - suspect.lastNanos >= quarantineNanos) {
        suspect.retire();
      }
      if (!known && suspect.counted.size() < Math.max(DEATHS_CAPACITY, mostDeaths)) {
        suspect.counted.put(death, report);
        suspect.lastNanos = nowNanos;
        suspects.remove(report.fingerprint());
        suspects.put(report.fingerprint(), suspect);
        news.add(report);
      }
    }
    return news;
  }

  /** Returns the reports that count at present. */
  List<Suspicion> activeReports(long nowNanos) {
    return suspects.keySet().stream()
        .filter(fingerprint -> deaths(fingerprint, nowNanos) > 0)
        .flatMap(fingerprint -> suspects.get(fingerprint).counted.values().stream())
        .toList();
  }

  /** Returns how many upstreams died while a request ran. */
  int deaths(Fingerprint fingerprint, long nowNanos) {
    Suspect suspect = suspects.get(fingerprint);
    boolean counts = suspect != null && nowNanos - suspect.lastNanos < quarantineNanos;
    return counts ? suspect.counted.size() : 0;
  }

  /** Returns whether a request may not be tried any more. */
  boolean isQuarantined(RoutedRequest request, long nowNanos) {
    return Math.max(request.deaths, deaths(request.fingerprint(), nowNanos)) >= mostDeaths;
  }

  /** Returns whether a request that has just arrived may not be tried. */
  boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    return deaths(fingerprint, nowNanos) >= mostDeaths;
  }

  /** Returns whether nothing else may run beside a request. */
  boolean isSuspect(RoutedRequest request, long nowNanos) {
    return request.deaths > 0 || deaths(request.fingerprint(), nowNanos) > 0;
  }

  /** Returns how long a fingerprint stays refused, in milliseconds. */
  long millisLeft(Fingerprint fingerprint, long nowNanos) {
    long sinceNanos = nowNanos - suspects.get(fingerprint).lastNanos;
    return Math.max(1, (quarantineNanos - sinceNanos) / NANOS_PER_MILLI);
  }

  /** Notes that a request ended whole with nothing beside it. */
  void clear(Fingerprint fingerprint) {
    Suspect suspect = suspects.get(fingerprint);
    if (suspect != null) {
      suspect.retire();
    }
  }

  /** Forgets what is too old to matter. */
  void expire(long nowNanos) {
    long oldest = nowNanos - RECOGNISED_TIMES * quarantineNanos;
    while (!suspects.isEmpty() && suspects.values().iterator().next().lastNanos < oldest) {
      suspects.remove(suspects.keySet().iterator().next());
    }
  }
}

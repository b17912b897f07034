package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.VersionEffect;
import dev.agatepier.core.process.VersionEffect.ReportEvacuation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Tells operators which evacuations started or ended with a version of the instance list. */
public final class EvacuationReport {

  private final Map<String, Long> startedNanos = new TreeMap<>();

  /**
   * Returns the reports of the changes since the last call.
   *
   * @param evacuated the evacuated data centres
   * @param source where the list came from
   */
  public List<VersionEffect> update(Set<String> evacuated, String source, long nowNanos) {
    List<VersionEffect> reports = new ArrayList<>();
    for (String dataCentre : new TreeSet<>(evacuated)) {
      if (startedNanos.putIfAbsent(dataCentre, nowNanos) == null) {
        reports.add(new ReportEvacuation(dataCentre, true, 0, source));
      }
    }
    for (String dataCentre : Set.copyOf(startedNanos.keySet())) {
      if (!evacuated.contains(dataCentre)) {
        long ageNanos = nowNanos - startedNanos.remove(dataCentre);
        reports.add(
            new ReportEvacuation(
                dataCentre, false, TimeUnit.NANOSECONDS.toMillis(ageNanos), source));
      }
    }
    return reports;
  }
}

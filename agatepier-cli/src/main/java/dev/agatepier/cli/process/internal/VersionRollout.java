package dev.agatepier.cli.process.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Progress of the rollout of a table version.
 *
 * @param version the table version
 * @param dataCentres progress in each data centre, sorted by name
 */
record VersionRollout(long version, List<DataCentreRollout> dataCentres) {

  /** Maximum characters of a line; the caller may indent it by two. */
  private static final int MAXIMUM_LINE_WIDTH = 78;

  private static final String ELLIPSIS = ", …";

  /**
   * Progress of the rollout in one data centre.
   *
   * @param dataCentre the data centre
   * @param instances number of processes called
   * @param versions number of processes by the version they run; -1 for unreachable ones
   * @param lagging names of the processes that do not run the version or a later one
   */
  record DataCentreRollout(
      String dataCentre, int instances, Map<Long, Integer> versions, List<String> lagging) {}

  /** Aggregates the results of calls by data centre. */
  static VersionRollout of(long version, List<FleetCommand.TargetResult> results) {
    Map<String, List<FleetCommand.TargetResult>> groups = new TreeMap<>();
    for (FleetCommand.TargetResult result : results) {
      groups.computeIfAbsent(dataCentre(result), name -> new ArrayList<>()).add(result);
    }
    List<DataCentreRollout> rollouts = new ArrayList<>();
    groups.forEach((name, group) -> rollouts.add(dataCentreRollout(name, version, group)));
    return new VersionRollout(version, rollouts);
  }

  /** Returns the table version that a process runs; -1 if it is unreachable. */
  static long version(FleetCommand.TargetResult result) {
    return result.ok()
        ? result.response().orElseThrow().body().path("tableVersion").asLong(-1)
        : -1;
  }

  boolean complete() {
    return !dataCentres.isEmpty()
        && dataCentres.stream().allMatch(rollout -> rollout.lagging().isEmpty());
  }

  List<String> lines() {
    return dataCentres.stream().map(this::formatLine).toList();
  }

  private String formatLine(DataCentreRollout rollout) {
    int current = rollout.instances() - rollout.lagging().size();
    String line =
        "%-18s version %d at %d of %d"
            .formatted(rollout.dataCentre(), version, current, rollout.instances());
    if (rollout.lagging().isEmpty()) {
      return line;
    }
    StringBuilder text = new StringBuilder(line).append("; lagging: ");
    String separator = "";
    for (String name : rollout.lagging()) {
      int reserved = name.equals(rollout.lagging().getLast()) ? 0 : ELLIPSIS.length();
      if (text.length() + separator.length() + name.length() + reserved > MAXIMUM_LINE_WIDTH) {
        return text.append(ELLIPSIS.substring(separator.isEmpty() ? 2 : 0)).toString();
      }
      text.append(separator).append(name);
      separator = ", ";
    }
    return text.toString();
  }

  private static DataCentreRollout dataCentreRollout(
      String name, long version, List<FleetCommand.TargetResult> results) {
    Map<Long, Integer> versions = new TreeMap<>();
    results.forEach(result -> versions.merge(version(result), 1, Integer::sum));
    List<String> lagging =
        results.stream()
            .filter(result -> version(result) < version)
            .map(result -> result.target().name())
            .toList();
    return new DataCentreRollout(name, results.size(), versions, lagging);
  }

  private static String dataCentre(FleetCommand.TargetResult result) {
    String listedDataCentre = result.target().dataCentre();
    return result.ok()
        ? result.response().orElseThrow().body().path("dataCentre").asText(listedDataCentre)
        : listedDataCentre;
  }
}

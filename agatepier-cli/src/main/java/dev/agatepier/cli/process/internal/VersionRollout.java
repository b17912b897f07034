package dev.agatepier.cli.process.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How far a table version has spread.
 *
 * @param version the version
 * @param dataCentres one entry for each data centre, by name
 */
record VersionRollout(long version, List<DataCentreRollout> dataCentres) {

  /** Characters of a line, which the caller may indent by two. */
  private static final int WIDTH = 78;

  private static final String MORE = ", …";

  /**
   * How far it has spread in one data centre.
   *
   * @param dataCentre the data centre
   * @param instances processes asked
   * @param versions processes by the version they run; -1 for those that cannot be reached
   * @param lagging names of the processes that do not run the version or a later one
   */
  record DataCentreRollout(
      String dataCentre, int instances, Map<Long, Integer> versions, List<String> lagging) {}

  /** Sums up what processes answered. */
  static VersionRollout of(long version, List<FleetCommand.TargetResponse> replies) {
    Map<String, List<FleetCommand.TargetResponse>> groups = new TreeMap<>();
    for (FleetCommand.TargetResponse reply : replies) {
      groups.computeIfAbsent(dataCentre(reply), name -> new ArrayList<>()).add(reply);
    }
    List<DataCentreRollout> spreads = new ArrayList<>();
    groups.forEach((name, group) -> spreads.add(dataCentreSpread(name, version, group)));
    return new VersionRollout(version, spreads);
  }

  /** Returns the version that a process runs; -1 if it cannot be reached. */
  static long version(FleetCommand.TargetResponse reply) {
    return reply.ok() ? reply.response().orElseThrow().body().path("tableVersion").asLong(-1) : -1;
  }

  boolean complete() {
    return !dataCentres.isEmpty()
        && dataCentres.stream().allMatch(spread -> spread.lagging().isEmpty());
  }

  List<String> lines() {
    return dataCentres.stream().map(this::line).toList();
  }

  private String line(DataCentreRollout spread) {
    int current = spread.instances() - spread.lagging().size();
    String line =
        "%-18s version %d at %d of %d"
            .formatted(spread.dataCentre(), version, current, spread.instances());
    if (spread.lagging().isEmpty()) {
      return line;
    }
    StringBuilder named = new StringBuilder(line).append("; lagging: ");
    String separator = "";
    for (String name : spread.lagging()) {
      int reserved = name.equals(spread.lagging().getLast()) ? 0 : MORE.length();
      if (named.length() + separator.length() + name.length() + reserved > WIDTH) {
        return named.append(MORE.substring(separator.isEmpty() ? 2 : 0)).toString();
      }
      named.append(separator).append(name);
      separator = ", ";
    }
    return named.toString();
  }

  private static DataCentreRollout dataCentreSpread(
      String name, long version, List<FleetCommand.TargetResponse> replies) {
    Map<Long, Integer> versions = new TreeMap<>();
    replies.forEach(reply -> versions.merge(version(reply), 1, Integer::sum));
    List<String> lagging =
        replies.stream()
            .filter(reply -> version(reply) < version)
            .map(reply -> reply.target().name())
            .toList();
    return new DataCentreRollout(name, replies.size(), versions, lagging);
  }

  private static String dataCentre(FleetCommand.TargetResponse reply) {
    String listed = reply.target().dataCentre();
    return reply.ok()
        ? reply.response().orElseThrow().body().path("dataCentre").asText(listed)
        : listed;
  }
}

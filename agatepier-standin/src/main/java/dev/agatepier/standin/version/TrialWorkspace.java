package dev.agatepier.standin.version;

import dev.agatepier.standin.request.Digests;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * A workspace of a test or experiment, with the key of its callers.
 *
 * @param name name of the workspace
 * @param weight weight relative to other workspaces
 * @param maximumWaiting maximum number of requests that wait at one router
 * @param maximumRunning maximum number of requests that run concurrently through one router
 * @param services services that it may call
 */
public record TrialWorkspace(
    String name, double weight, int maximumWaiting, int maximumRunning, List<String> services) {

  private static final String HEADER =
      "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,services\n";

  /** Rejects a null name and copies the services. */
  public TrialWorkspace {
    Objects.requireNonNull(name, "name");
    services = List.copyOf(services);
  }

  /** Returns the key of its callers, derived from the name, as test keys need not be secret. */
  public String key() {
    return name + ":" + Digests.sha256("trial:" + name).substring(0, 32);
  }

  /** Returns the workspaces as the CSV text of a table, with the header line. */
  public static String toCsv(List<TrialWorkspace> workspaces) {
    return workspaces.stream()
        .map(TrialWorkspace::csvRow)
        .collect(Collectors.joining("", HEADER, ""));
  }

  private String csvRow() {
    return "%s,%s,%s,%d,%d,0,%s\n"
        .formatted(
            name,
            weight,
            Digests.sha256(key()),
            maximumWaiting,
            maximumRunning,
            String.join(";", services));
  }
}

package dev.agatepier.standin.version;

import dev.agatepier.standin.request.Digests;
import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * A workspace of a trial, with the key that its callers use.
 *
 * @param name name of the workspace
 * @param weight its share relative to other workspaces
 * @param maximumWaiting requests that may wait at one router
 * @param maximumRunning requests that may run at one time through one router
 * @param services services it may reach
 */
public record TrialWorkspace(
    String name, double weight, int maximumWaiting, int maximumRunning, List<String> services) {

  private static final String HEADER =
      "workspace,weight,key_digest,max_waiting,max_running,max_cost_per_minute,services\n";

  /** Checks the name and copies the services. */
  public TrialWorkspace {
    Objects.requireNonNull(name, "name");
    services = List.copyOf(services);
  }

  /** Returns the key of its callers; trials have no secrets to keep. */
  public String key() {
    return name + ":" + Digests.sha256("trial:" + name).substring(0, 32);
  }

  /** Returns the CSV text of some workspaces. */
  public static String toCsv(List<TrialWorkspace> workspaces) {
    return workspaces.stream().map(TrialWorkspace::row).collect(Collectors.joining("", HEADER, ""));
  }

  private String row() {
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

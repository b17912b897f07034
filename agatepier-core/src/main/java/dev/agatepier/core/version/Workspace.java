package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One row of the table.
 *
 * @param name name of the workspace
 * @param weight its share relative to other workspaces, above 0
 * @param keyDigests lower-case hexadecimal SHA-256 of each of its keys; two while a key is replaced
 * @param limits its limits
 * @param services names of the services it may reach
 */
public record Workspace(
    String name, double weight, List<String> keyDigests, Limits limits, Set<String> services) {

  /** Name of the workspace that calls without a key belong to, where a route allows them. */
  public static final String OPEN = "(open)";

  /** Creates a workspace with one key. */
  public Workspace(
      String name, double weight, String keyDigest, Limits limits, Set<String> services) {
    this(name, weight, List.of(keyDigest), limits, services);
  }

  /** Checks the parts and copies the services. */
  public Workspace {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(limits, "limits");
    keyDigests = List.copyOf(keyDigests);
    services = Set.copyOf(services);
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight " + weight + " is not above 0");
    }
  }
}

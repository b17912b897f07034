package dev.agatepier.core.version;

import java.util.Objects;
import java.util.Set;

/**
 * One row of the table.
 *
 * @param name name of the workspace
 * @param weight its share relative to other workspaces, above 0
 * @param keyDigest lower-case hexadecimal SHA-256 of its key
 * @param limits its limits
 * @param services names of the services it may reach
 */
public record Workspace(
    String name, double weight, String keyDigest, Limits limits, Set<String> services) {

  /** Checks the parts and copies the services. */
  public Workspace {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(keyDigest, "keyDigest");
    Objects.requireNonNull(limits, "limits");
    services = Set.copyOf(services);
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight " + weight + " is not above 0");
    }
  }
}

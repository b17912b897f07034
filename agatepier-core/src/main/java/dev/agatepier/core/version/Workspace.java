package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * One row of the table.
 *
 * @param name name of the workspace
 * @param weight share relative to the weights of other workspaces, above 0
 * @param keyDigests lower-case hexadecimal SHA-256 of each key; two entries while a key is being
 *     replaced
 * @param limits limits at each router
 * @param services names of the services that it may call
 * @param allowedRegions regions in which its requests may be processed
 */
public record Workspace(
    String name,
    double weight,
    List<String> keyDigests,
    Limits limits,
    Set<String> services,
    AllowedRegions allowedRegions) {

  /** Name of the workspace of calls without a key, on routes that allow such calls. */
  public static final String OPEN = "(open)";

  /** Creates a workspace whose requests may be processed in every region. */
  public Workspace(
      String name, double weight, List<String> keyDigests, Limits limits, Set<String> services) {
    this(name, weight, keyDigests, limits, services, AllowedRegions.ALL);
  }

  /** Creates a workspace with one key. */
  public Workspace(
      String name, double weight, String keyDigest, Limits limits, Set<String> services) {
    this(name, weight, List.of(keyDigest), limits, services);
  }

  /** Rejects null parts and a weight that is not above 0; copies keys and services. */
  public Workspace {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(allowedRegions, "allowedRegions");
    keyDigests = List.copyOf(keyDigests);
    services = Set.copyOf(services);
    if (!(weight > 0)) {
      throw new IllegalArgumentException(
          "weight " + weight + " of workspace " + name + " is not above 0");
    }
  }
}

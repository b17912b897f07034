package dev.agatepier.core.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One whole version of the table and of the services beside it.
 *
 * @param version version number, rising with each accepted change
 * @param workspaces workspaces by name
 * @param services services by name
 * @param routes routes by host and path; none where callers name the service themselves
 * @param bounds bounds on what callers may send
 */
public record Table(
    long version,
    Map<String, Workspace> workspaces,
    Map<String, ServiceEntry> services,
    RouteIndex routes,
    CallerBounds bounds) {

  /** The table of a process that has not yet heard of any version. */
  public static final Table NONE = new Table(0, Map.of(), Map.of());

  /** Creates a version without routes. */
  public Table(
      long version, Map<String, Workspace> workspaces, Map<String, ServiceEntry> services) {
    this(version, workspaces, services, new RouteIndex(List.of()), CallerBounds.DEFAULT);
  }

  /** Copies the maps. */
  public Table {
    workspaces = Map.copyOf(workspaces);
    services = Map.copyOf(services);
  }

  /** Returns the workspace of a name, if the table has it. */
  public Optional<Workspace> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /** Returns the service of a name, if the table has it. */
  public Optional<ServiceEntry> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the weight of a workspace, 1 for one that the table does not have. */
  public double weight(String name) {
    return workspace(name).map(Workspace::weight).orElse(1.0);
  }
}

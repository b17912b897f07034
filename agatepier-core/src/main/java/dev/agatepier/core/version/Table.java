package dev.agatepier.core.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One complete version of the table: workspaces, services and routes.
 *
 * @param version version number, which increases with each accepted change
 * @param workspaces workspaces by name
 * @param services services by name
 * @param routes routes by host and path; empty if callers name the service themselves
 * @param bounds limits on callers' requests
 */
public record Table(
    long version,
    Map<String, Workspace> workspaces,
    Map<String, ServiceEntry> services,
    RouteIndex routes,
    CallerBounds bounds) {

  /** The table of a process that has not received any version yet. */
  public static final Table NONE = new Table(0, Map.of(), Map.of());

  /** Creates a version without routes, with the default bounds. */
  public Table(
      long version, Map<String, Workspace> workspaces, Map<String, ServiceEntry> services) {
    this(version, workspaces, services, new RouteIndex(List.of()), CallerBounds.DEFAULT);
  }

  /** Copies the maps. */
  public Table {
    workspaces = Map.copyOf(workspaces);
    services = Map.copyOf(services);
  }

  /** Returns the workspace with the given name, if the table has it. */
  public Optional<Workspace> workspace(String name) {
    return Optional.ofNullable(workspaces.get(name));
  }

  /** Returns the service with the given name, if the table has it. */
  public Optional<ServiceEntry> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the weight of a workspace, or 1 if the table does not have it. */
  public double weight(String name) {
    return workspace(name).map(Workspace::weight).orElse(1.0);
  }
}

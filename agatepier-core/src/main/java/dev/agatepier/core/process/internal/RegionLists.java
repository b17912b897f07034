package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.Route;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.util.HashMap;
import java.util.Map;

/**
 * The lists of allowed regions of one table version, by the names of routes and workspaces. Routes
 * with the same name are bound by the lists of all of them.
 */
final class RegionLists {

  static final RegionLists NONE = new RegionLists(Table.NONE);

  private final Table table;
  private final Map<String, AllowedRegions> routes = new HashMap<>();
  private final Map<String, AllowedRegions> restrictedRoutes = new HashMap<>();
  private final Map<String, AllowedRegions> restrictedWorkspaces = new HashMap<>();

  RegionLists(Table table) {
    this.table = table;
    for (Route route : table.routes().routes()) {
      routes.merge(route.plan().route(), route.allowedRegions(), AllowedRegions::and);
    }
    routes.forEach((name, allowed) -> addRestricted(name, allowed, restrictedRoutes));
    for (Workspace workspace : table.workspaces().values()) {
      addRestricted(workspace.name(), workspace.allowedRegions(), restrictedWorkspaces);
    }
  }

  private static void addRestricted(
      String name, AllowedRegions allowed, Map<String, AllowedRegions> restricted) {
    if (!allowed.all()) {
      restricted.put(name, allowed);
    }
  }

  /** Returns the version of the table. */
  long version() {
    return table.version();
  }

  /** Returns whether any route or workspace has a list. */
  boolean restricted() {
    return !restrictedRoutes.isEmpty() || !restrictedWorkspaces.isEmpty();
  }

  /** Returns the regions of a route; the last known ones if the table does not have it. */
  AllowedRegions ofRoute(String name, AllowedRegions lastKnown) {
    return routes.getOrDefault(name, lastKnown);
  }

  /** Returns the regions of a workspace; the last known ones if the table does not have it. */
  AllowedRegions ofWorkspace(String name, AllowedRegions lastKnown) {
    Workspace workspace = table.workspaces().get(name);
    return workspace == null ? lastKnown : workspace.allowedRegions();
  }

  /** Returns whether the same routes and workspaces have the same lists in another version. */
  boolean sameAs(RegionLists other) {
    return restrictedRoutes.equals(other.restrictedRoutes)
        && restrictedWorkspaces.equals(other.restrictedWorkspaces);
  }

  int restrictedRoutes() {
    return restrictedRoutes.size();
  }

  int restrictedWorkspaces() {
    return restrictedWorkspaces.size();
  }
}

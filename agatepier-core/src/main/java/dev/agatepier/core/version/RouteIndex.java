package dev.agatepier.core.version;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Index of routes by host and path prefix. The longest matching prefix wins. */
public final class RouteIndex {

  private final List<Route> routes;
  private final Map<String, TreeMap<Integer, Map<String, Route>>> byHost = new HashMap<>();

  /** Builds the index. If two routes have the same host and prefix, the first one is used. */
  public RouteIndex(List<Route> routes) {
    this.routes = List.copyOf(routes);
    for (Route route : this.routes) {
      byHost
          .computeIfAbsent(route.host(), host -> new TreeMap<>(Comparator.reverseOrder()))
          .computeIfAbsent(route.prefix().length(), length -> new HashMap<>())
          .putIfAbsent(route.prefix(), route);
    }
  }

  /** Returns all routes in the order in which they were published. */
  public List<Route> routes() {
    return routes;
  }

  /**
   * Returns the route of a call.
   *
   * @param host host name, lower case, without port
   * @param path path without query
   */
  public Optional<Route> find(String host, String path) {
    TreeMap<Integer, Map<String, Route>> byLength = byHost.get(host);
    if (byLength == null) {
      return Optional.empty();
    }
    for (Map.Entry<Integer, Map<String, Route>> entry : byLength.entrySet()) {
      int length = entry.getKey();
      Route route =
          length <= path.length() ? entry.getValue().get(path.substring(0, length)) : null;
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}

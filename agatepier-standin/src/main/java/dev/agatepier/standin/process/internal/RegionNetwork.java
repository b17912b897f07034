package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.FleetException;
import dev.agatepier.standin.process.FleetNode;
import dev.agatepier.standin.process.ProcessFleet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The platform stand-in of one region, and the proxy through which the links of its processes go.
 */
public final class RegionNetwork {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final ProcessFleet fleet;
  private final String region;
  private final String addressStart;
  private final Endpoint platform;
  private final Endpoint proxy;
  private final Map<FleetNode, Endpoint> routes = new LinkedHashMap<>();

  /**
   * Allocates the addresses of a region's platform and proxy.
   *
   * @param fleet fleet in which the platform and the proxy are started
   * @param region name of the region
   * @param addressStart first three parts of its IP addresses, with the last dot
   */
  public RegionNetwork(ProcessFleet fleet, String region, String addressStart) {
    this.fleet = fleet;
    this.region = region;
    this.addressStart = addressStart;
    platform = Endpoint.onFreePort(addressStart + "1");
    proxy = Endpoint.onFreePort(addressStart + "2");
  }

  /** Returns the address of the platform. */
  public Endpoint platform() {
    return platform;
  }

  /** Starts the platform and the proxy, with a route to each node. */
  public CompletableFuture<Void> start(List<FleetNode> nodes) {
    nodes.forEach(node -> routes.put(node, Endpoint.onFreePort(addressStart + "3")));
    Path file = fleet.recordFile("routes-" + region);
    try {
      Files.writeString(file, Json.writeIndented(routesJson()));
    } catch (IOException failure) {
      throw new FleetException("cannot write the routes of " + region, failure);
    }
    return CompletableFuture.allOf(
        fleet.startStandin("platform-" + region, "platform", platform),
        fleet.startStandin("proxy-" + region, "proxy", proxy, "--routes", file.toString()));
  }

  /**
   * Returns the instances at the addresses of their proxy routes, as the processes of this region
   * reach them.
   */
  public List<Instance> proxiedInstances(List<FleetNode> nodes) {
    return nodes.stream()
        .map(node -> node.withAdvertised(routes.get(node)).toInstance(false))
        .toList();
  }

  /**
   * Sets the delay of the route to each node in both directions. Resets its connections, as those
   * that lost bytes can't continue.
   */
  public CompletableFuture<Void> delay(ToLongFunction<FleetNode> millis) {
    Map<Long, List<FleetNode>> byDelay =
        routes.keySet().stream().collect(Collectors.groupingBy(node -> millis.applyAsLong(node)));
    List<CompletableFuture<Void>> changes = new ArrayList<>();
    byDelay.forEach(
        (delay, nodes) ->
            changes.add(put(nodes, () -> Json.object().put("delayMillis", delay), true)));
    return CompletableFuture.allOf(changes.toArray(CompletableFuture[]::new));
  }

  /** Drops all bytes to and from some nodes without closing their connections. */
  public CompletableFuture<Void> dropTraffic(Predicate<FleetNode> affected) {
    List<FleetNode> nodes = routes.keySet().stream().filter(affected).toList();
    return put(nodes, () -> Json.object().put("swallow", true), false);
  }

  private CompletableFuture<Void> put(
      List<FleetNode> nodes, Supplier<ObjectNode> direction, boolean cut) {
    ObjectNode root = Json.object().put("cut", cut);
    ArrayNode names = root.putArray("routes");
    nodes.forEach(node -> names.add(node.name()));
    root.set("toTarget", direction.get());
    root.set("toCaller", direction.get());
    return fleet
        .caller()
        .call("POST", proxy.httpUrl("/faults"), Map.of(), root.toString(), TIMEOUT)
        .thenAccept(
            response -> {
              if (!response.successful()) {
                throw new FleetException("the proxy rejected the faults: " + response.body());
              }
            });
  }

  private ObjectNode routesJson() {
    ObjectNode root = Json.object();
    ArrayNode entries = root.putArray("routes");
    routes.forEach(
        (node, listen) ->
            entries
                .addObject()
                .put("name", node.name())
                .put("listen", listen.toString())
                .put("target", node.links().toString()));
    return root;
  }
}

package dev.agatepier.standin.process;

import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.process.internal.RegionNetwork;
import dev.agatepier.standin.version.TrialWorkspace;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * A whole fleet in several regions on this machine. Each region has a platform stand-in of its own,
 * whose instance list leads every link through that region's proxy, so that links across regions
 * can be delayed and cut. All platforms publish the same table and the same versions.
 */
public final class RegionalFleet implements ManagedService {

  private static final Duration READY_DEADLINE = Duration.ofSeconds(120);
  private static final String SERVICES =
      """
      service,kind,idempotent_calls,deadline_seconds,retry_share
      %s,model,POST /v1/chat/completions,%d,0.1
      %s,plain,GET /,%d,0.1
      """;

  private final ProcessFleet fleet;
  private final RegionalLayout layout;
  private final Map<String, RegionNetwork> networks = new LinkedHashMap<>();
  private final List<FleetNode> nodes = new ArrayList<>();

  /**
   * Lays out a fleet.
   *
   * @param fleet starts its processes; must have been started
   * @param layout what it consists of
   */
  public RegionalFleet(ProcessFleet fleet, RegionalLayout layout) {
    this.fleet = fleet;
    this.layout = layout;
    List<String> centres = layout.scenario().dataCentres();
    for (int place = 0; place < centres.size(); place++) {
      for (int number = 1; number <= layout.routersPerDataCentre(); number++) {
        nodes.add(router(centres.get(place), place, number));
      }
    }
    for (int number = 0; number < layout.engines(); number++) {
      nodes.add(sidecar("engine", layout.scenario().modelService(), number));
    }
    for (int number = 0; number < layout.plainUpstreams(); number++) {
      nodes.add(sidecar("desk", layout.scenario().plainService(), number));
    }
    for (int place = 0; place < centres.size(); place++) {
      String region = region(centres.get(place));
      networks.put(region, new RegionNetwork(fleet, region, "127.0.%d.".formatted(place + 101)));
    }
  }

  @Override
  public CompletableFuture<Void> start() {
    return all(networks.values().stream().map(network -> network.start(nodes())))
        .thenCompose(started -> all(networks.keySet().stream().map(this::restoreLinks)))
        .thenCompose(delayed -> all(networks.values().stream().map(this::publish)))
        .thenCompose(published -> all(nodes(Role.SIDECAR).stream().map(this::startUpstream)))
        .thenCompose(started -> all(nodes().stream().map(this::startNode)));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return fleet.stop();
  }

  /** Returns the nodes of a role; sidecars of engines come first. */
  public List<FleetNode> nodes(Role role) {
    return nodes.stream().filter(node -> node.role() == role).toList();
  }

  /** Returns all nodes. */
  public List<FleetNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Starts a router or sidecar, again if it has ended; completes when it is ready. */
  public CompletableFuture<ChildProcess> startNode(FleetNode node) {
    fleet.startNode(node, networks.get(node.region()).platform());
    return fleet.whenReady(node, READY_DEADLINE);
  }

  /** Loses all that is sent on links between a region and the others, without closing a link. */
  public CompletableFuture<Void> partition(String region) {
    return all(
        networks.keySet().stream()
            .map(
                each ->
                    networks
                        .get(each)
                        .dropTraffic(target -> crosses(region, each, target.region()))));
  }

  /** Gives the links of a region their delays again and resets connections that lost bytes. */
  public CompletableFuture<Void> healPartition(String region) {
    return all(networks.keySet().stream().map(this::restoreLinks));
  }

  private static boolean crosses(String cutOff, String from, String to) {
    return from.equals(cutOff) != to.equals(cutOff);
  }

  private CompletableFuture<Void> restoreLinks(String region) {
    return networks
        .get(region)
        .delay(
            target ->
                target.region().equals(region) ? layout.withinMillis() : layout.acrossMillis());
  }

  private CompletableFuture<Void> publish(RegionNetwork network) {
    PlatformClient client = new PlatformClient(fleet.caller(), network.platform());
    LoadScenario scenario = layout.scenario();
    int deadline = layout.deadlineSeconds();
    String services =
        SERVICES.formatted(scenario.modelService(), deadline, scenario.plainService(), deadline);
    List<Instance> instances = network.proxiedInstances(nodes());
    return client
        .publishTable(
            PlatformClient.ANY_VERSION, TrialWorkspace.toCsv(scenario.workspaces()), services)
        .thenCompose(version -> client.publishInstances(instances))
        .thenApply(version -> null);
  }

  private CompletableFuture<ChildProcess> startUpstream(FleetNode sidecar) {
    String name = DemoFleet.upstreamName(sidecar);
    List<String> arguments =
        new ArrayList<>(List.of("--record", fleet.recordFile(name).toString()));
    boolean model = sidecar.service().equals(layout.scenario().modelService());
    arguments.addAll(model ? layout.engineArguments() : List.of("--service-millis", "20"));
    return fleet.startStandin(
        name, model ? "engine" : "plain", sidecar.front(), arguments.toArray(String[]::new));
  }

  private FleetNode router(String centre, int place, int number) {
    String name = "router-%s-%d".formatted(centre, number);
    String address = "127.0.%d.%d".formatted(place + 1, number);
    return FleetNode.router(name, centre, region(centre), address)
        .withPolicy(layout.policy().router());
  }

  private FleetNode sidecar(String kind, String service, int number) {
    List<String> centres = layout.scenario().dataCentres();
    int place = number % centres.size();
    String centre = centres.get(place);
    String name = "%s-%s-%d".formatted(kind, centre, number / centres.size() + 1);
    int host = (kind.equals("engine") ? 10 : 50) + number;
    Endpoint upstream = Endpoint.onFreePort("127.0.%d.%d".formatted(place + 1, host));
    return FleetNode.sidecar(name, centre, region(centre), service, upstream)
        .withPolicy(layout.policy().sidecar());
  }

  private static String region(String dataCentre) {
    return dataCentre.substring(0, dataCentre.lastIndexOf('-'));
  }

  private static CompletableFuture<Void> all(Stream<? extends CompletableFuture<?>> each) {
    return CompletableFuture.allOf(each.toArray(CompletableFuture[]::new));
  }
}

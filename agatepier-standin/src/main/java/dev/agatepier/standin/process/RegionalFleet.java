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
 * A fleet of several regions on the local machine. Each region has its own platform stand-in, whose
 * instance list routes every link through the region's proxy, so that links between regions can be
 * delayed and partitioned. All platforms publish the same table and the same versions.
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
   * Assigns names and endpoints to the nodes; starts no process.
   *
   * @param fleet starts the processes; must have been started
   * @param layout composition of the fleet
   */
  public RegionalFleet(ProcessFleet fleet, RegionalLayout layout) {
    this.fleet = fleet;
    this.layout = layout;
    List<String> dataCentres = layout.scenario().dataCentres();
    for (int index = 0; index < dataCentres.size(); index++) {
      for (int number = 1; number <= layout.routersPerDataCentre(); number++) {
        nodes.add(router(dataCentres.get(index), index, number));
      }
    }
    for (int number = 0; number < layout.engines(); number++) {
      nodes.add(sidecar("engine", layout.scenario().modelService(), number));
    }
    for (int number = 0; number < layout.plainUpstreams(); number++) {
      nodes.add(sidecar("desk", layout.scenario().plainService(), number));
    }
    for (int index = 0; index < dataCentres.size(); index++) {
      String region = region(dataCentres.get(index));
      networks.put(region, new RegionNetwork(fleet, region, "127.0.%d.".formatted(index + 101)));
    }
  }

  @Override
  public CompletableFuture<Void> start() {
    return allOf(networks.values().stream().map(network -> network.start(nodes())))
        .thenCompose(started -> allOf(networks.keySet().stream().map(this::restoreLinks)))
        .thenCompose(restored -> allOf(networks.values().stream().map(this::publish)))
        .thenCompose(published -> allOf(nodes(Role.SIDECAR).stream().map(this::startUpstream)))
        .thenCompose(started -> allOf(nodes().stream().map(this::startNode)));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return fleet.stop();
  }

  /** Returns the nodes of a role; sidecars of engines precede those of plain upstreams. */
  public List<FleetNode> nodes(Role role) {
    return nodes.stream().filter(node -> node.role() == role).toList();
  }

  /** Returns the routers, then the sidecars of engines, then those of plain upstreams. */
  public List<FleetNode> nodes() {
    return List.copyOf(nodes);
  }

  /** Starts a router or sidecar, or restarts it after it exited; completes when it is ready. */
  public CompletableFuture<ChildProcess> startNode(FleetNode node) {
    fleet.startNode(node, networks.get(node.region()).platform());
    return fleet.whenReady(node, READY_DEADLINE);
  }

  /** Drops all bytes on links between a region and the others, without closing the links. */
  public CompletableFuture<Void> partition(String region) {
    return allOf(
        networks.keySet().stream()
            .map(
                each ->
                    networks
                        .get(each)
                        .dropTraffic(target -> crossesPartition(region, each, target.region()))));
  }

  /** Restores the delays of all links and resets open connections, which may have lost bytes. */
  public CompletableFuture<Void> healPartition(String region) {
    return allOf(networks.keySet().stream().map(this::restoreLinks));
  }

  private static boolean crossesPartition(String partitioned, String from, String to) {
    return from.equals(partitioned) != to.equals(partitioned);
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

  private FleetNode router(String dataCentre, int index, int number) {
    String name = "router-%s-%d".formatted(dataCentre, number);
    String address = "127.0.%d.%d".formatted(index + 1, number);
    return FleetNode.router(name, dataCentre, region(dataCentre), address)
        .withPolicy(layout.policy().router());
  }

  private FleetNode sidecar(String kind, String service, int number) {
    List<String> dataCentres = layout.scenario().dataCentres();
    int index = number % dataCentres.size();
    String dataCentre = dataCentres.get(index);
    String name = "%s-%s-%d".formatted(kind, dataCentre, number / dataCentres.size() + 1);
    int host = (kind.equals("engine") ? 10 : 50) + number;
    Endpoint upstream = Endpoint.onFreePort("127.0.%d.%d".formatted(index + 1, host));
    return FleetNode.sidecar(name, dataCentre, region(dataCentre), service, upstream)
        .withPolicy(layout.policy().sidecar());
  }

  private static String region(String dataCentre) {
    return dataCentre.substring(0, dataCentre.lastIndexOf('-'));
  }

  private static CompletableFuture<Void> allOf(Stream<? extends CompletableFuture<?>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }
}

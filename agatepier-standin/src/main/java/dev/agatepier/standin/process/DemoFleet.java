package dev.agatepier.standin.process;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.version.TrialWorkspace;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/**
 * A small complete fleet on the local machine: two data centres in two regions with one router
 * each, a model service and a plain service in both data centres, and a sidecar per upstream.
 */
public final class DemoFleet implements ManagedService {

  /** Name of the model service. */
  public static final String MODEL_SERVICE = "plan-model";

  /** Name of the plain service. */
  public static final String PLAIN_SERVICE = "chair-desk";

  private static final String SERVICES =
      """
      service,kind,idempotent_calls,deadline_seconds,retry_share
      plan-model,model,POST /v1/chat/completions,60,0.1
      chair-desk,plain,GET /,30,0.1
      """;

  private static final String PLATFORM_ADDRESS = "127.0.9.1";
  private static final int ENGINES_PER_DATA_CENTRE = 2;
  private static final Duration READY_DEADLINE = Duration.ofSeconds(60);
  private static final List<DataCentre> DATA_CENTRES =
      List.of(
          new DataCentre("kolkata-a", "kolkata", "127.0.1."),
          new DataCentre("siliguri-a", "siliguri", "127.0.2."));

  private final ProcessFleet fleet;
  private final List<TrialWorkspace> workspaces;
  private final Endpoint platform = Endpoint.onFreePort(PLATFORM_ADDRESS);
  private final List<FleetNode> routers = new ArrayList<>();
  private final List<FleetNode> sidecars = new ArrayList<>();

  /**
   * Assigns names and endpoints to the nodes; starts no process.
   *
   * @param fleet starts the processes; must have been started
   * @param workspaces workspaces of the published table
   */
  public DemoFleet(ProcessFleet fleet, List<TrialWorkspace> workspaces) {
    this.fleet = fleet;
    this.workspaces = List.copyOf(workspaces);
    DATA_CENTRES.forEach(this::addNodes);
  }

  /** A data centre whose processes share an IP address prefix, such as {@code 127.0.1.}. */
  private record DataCentre(String name, String region, String addressStart) {}

  @Override
  public CompletableFuture<Void> start() {
    return fleet
        .startStandin("platform", "platform", platform)
        .thenCompose(started -> publish())
        .thenCompose(published -> allOf(sidecars.stream().map(this::startUpstream)))
        .thenCompose(started -> allOf(nodes().stream().map(this::startNode)));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return fleet.stop();
  }

  /** Returns the platform's endpoint. */
  public Endpoint platform() {
    return platform;
  }

  /** Returns the routers, one per data centre. */
  public List<FleetNode> routers() {
    return List.copyOf(routers);
  }

  /** Returns the sidecars; {@link #upstreamName} is the process name of a sidecar's upstream. */
  public List<FleetNode> sidecars() {
    return List.copyOf(sidecars);
  }

  /** Returns the routers, then the sidecars. */
  public List<FleetNode> nodes() {
    return Stream.concat(routers.stream(), sidecars.stream()).toList();
  }

  /** Returns the workspaces of the published table. */
  public List<TrialWorkspace> workspaces() {
    return workspaces;
  }

  /** Returns the process name of a sidecar's upstream. */
  public static String upstreamName(FleetNode sidecar) {
    return sidecar.name() + "-upstream";
  }

  private CompletableFuture<Void> publish() {
    PlatformClient client = new PlatformClient(fleet.caller(), platform);
    List<Instance> instances = nodes().stream().map(node -> node.toInstance(false)).toList();
    return client
        .publishTable(PlatformClient.ANY_VERSION, TrialWorkspace.toCsv(workspaces), SERVICES)
        .thenCompose(version -> client.publishInstances(instances))
        .thenApply(version -> null);
  }

  private CompletableFuture<ChildProcess> startUpstream(FleetNode sidecar) {
    String name = upstreamName(sidecar);
    String record = fleet.recordFile(name).toString();
    return sidecar.service().equals(MODEL_SERVICE)
        ? fleet.startStandin(
            name,
            "engine",
            sidecar.front(),
            "--batch",
            "8",
            "--token-millis",
            "8",
            "--record",
            record)
        : fleet.startStandin(
            name, "plain", sidecar.front(), "--service-millis", "20", "--record", record);
  }

  private CompletableFuture<ChildProcess> startNode(FleetNode node) {
    fleet.startNode(node, platform);
    return fleet.whenReady(node, READY_DEADLINE);
  }

  private void addNodes(DataCentre dataCentre) {
    String name = dataCentre.name();
    routers.add(
        FleetNode.router(
            "router-" + name, name, dataCentre.region(), dataCentre.addressStart() + "1"));
    for (int engine = 1; engine <= ENGINES_PER_DATA_CENTRE; engine++) {
      Endpoint upstream = Endpoint.onFreePort(dataCentre.addressStart() + (10 + engine));
      sidecars.add(
          FleetNode.sidecar(
              "engine-" + name + "-" + engine, name, dataCentre.region(), MODEL_SERVICE, upstream));
    }
    Endpoint upstream = Endpoint.onFreePort(dataCentre.addressStart() + "20");
    sidecars.add(
        FleetNode.sidecar("desk-" + name, name, dataCentre.region(), PLAIN_SERVICE, upstream));
  }

  private static CompletableFuture<Void> allOf(Stream<CompletableFuture<ChildProcess>> futures) {
    return CompletableFuture.allOf(futures.toArray(CompletableFuture[]::new));
  }
}

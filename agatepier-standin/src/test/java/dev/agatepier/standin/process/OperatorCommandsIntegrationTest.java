package dev.agatepier.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.agatepier.cli.process.AgatepierCommand;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.request.ServiceCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Runs every operator command against the processes of the demo fleet. */
public class OperatorCommandsIntegrationTest {

  private static final List<String> SERVICES =
      List.of(DemoFleet.MODEL_SERVICE, DemoFleet.PLAIN_SERVICE);
  private static final TrialWorkspace STRINGS =
      new TrialWorkspace("kolkata-strings", 4, 200, 50, SERVICES);
  private static final TrialWorkspace QUARTET =
      new TrialWorkspace("bengal-quartet", 1, 0, 50, SERVICES);
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 50;
  private static final String DESK = "desk-siliguri-a";

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<String> lines = new ArrayList<>();
  private ProcessFleet processes;
  private DemoFleet fleet;
  private Path key;

  @BeforeClass
  public void start() throws Exception {
    Path folder = Files.createTempDirectory("agatepier-operators");
    processes = new ProcessFleet(folder);
    fleet = new DemoFleet(processes, List.of(STRINGS, QUARTET));
    await(processes.start());
    key = processes.keyFile();
    await(fleet.start());
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws Exception {
    await(processes.stop());
  }

  @Test
  public void statusListsEveryProcess() throws Exception {
    assertEquals(run("status"), 0, output());
    assertEquals(lines.size(), 1 + fleet.nodes().size(), output());
    assertTrue(
        output().contains("engine-kolkata-a-1   sidecar  kolkata-a    plan-model  "), output());
    assertEquals(run("status --json --only " + DESK), 0);
    assertEquals(json(0).path("snapshot").path("healthy").asBoolean(), true, output());
    assertEquals(run("status", processes.secretFile()), 3);
    assertEquals(lines.getFirst(), "router-kolkata-a responded with status 401");
  }

  @Test
  public void workspacesCountsEndedRequestsAndExplainShowsThem() throws Exception {
    CallResult result = call(STRINGS, ServiceCall.read(DemoFleet.PLAIN_SERVICE, "/desks/1"));
    assertEquals(result.outcome(), CallOutcome.COMPLETED);
    call(QUARTET, ServiceCall.read(DemoFleet.PLAIN_SERVICE, "/desks/2"));
    assertEquals(run("workspaces"), 0, output());
    String strings = line("kolkata-strings ");
    assertTrue(strings.matches("kolkata-strings +[45].0 +100 % +0/200 +0/50 +1 +0 .*"), strings);
    assertTrue(line("bengal-quartet ").matches("bengal-quartet +1.0 +0 % +0/0 +0/50 +0 +1 .*"));
    assertEquals(run("workspaces --json"), 0);
    assertEquals(json(0).path("reasons").path("limit-waiting").asInt(), 1, output());
    assertTrue(json(1).path("cost").asDouble() > 0, output());

    String log = processes.child("router-kolkata-a").output();
    String request = mapper.readTree(lineWith(log, "completed")).at("/values/request").asText();
    assertEquals(run("explain " + request), 0, output());
    assertEquals(lines.getFirst(), request + " ended, completed");
    assertTrue(output().matches("(?s).*attempts    1, last at desk-\\S+-a\n.*"), output());
    assertEquals(run("explain --json " + request), 0);
    assertEquals(json(0).path("service").asText(), DemoFleet.PLAIN_SERVICE);
    assertEquals(run("explain router-kolkata-a/1/1"), 1, output());
  }

  @Test
  public void watchReportsChangeAtEveryProcess() throws Exception {
    String platform = fleet.platform().httpUrl("");
    Path workspaces = Files.createTempFile("workspaces", ".csv");
    Path services = Files.createTempFile("services", ".csv");
    Files.writeString(
        services,
        "service,kind,idempotent_calls,deadline_seconds,retry_share\n"
            + "plan-model,model,POST /v1/chat/completions,60,0.1\nchair-desk,plain,GET /,30,0.1\n");
    Files.writeString(workspaces, TrialWorkspace.toCsv(List.of(QUARTET)));
    assertEquals(
        runCommand("table diff " + workspaces + " " + services + " --platform " + platform), 1);
    assertEquals(lines.getFirst(), "removed workspaces kolkata-strings");
    Files.writeString(workspaces, TrialWorkspace.toCsv(List.of(STRINGS, QUARTET)));
    assertEquals(
        runCommand("table diff " + workspaces + " " + services + " --platform " + platform), 0);
    long version =
        await(
            new PlatformClient(processes.caller(), fleet.platform())
                .publishTable(
                    PlatformClient.ANY_VERSION,
                    Files.readString(workspaces).replace(",4.0,", ",5.0,"),
                    Files.readString(services)));
    assertEquals(run("watch --version " + version), 0, output());
    assertEquals(
        lines.subList(lines.size() - 2, lines.size()),
        List.of(
            "  kolkata-a          version " + version + " at 4 of 4",
            "  siliguri-a         version " + version + " at 4 of 4"));
    assertEquals(run("watch --json --version " + (version + 1) + " --timeout 0"), 4);
    assertEquals(json(0).at("/dataCentres/0/lagging").size(), 4, output());
    assertEquals(runCommand("table show --platform " + platform), 0);
    assertTrue(
        line("kolkata-strings").startsWith("kolkata-strings  5.0     200      50 "), output());
  }

  @Test
  public void metricsHaveTheNamesThatOperatorsRead() throws Exception {
    FleetNode router = fleet.routers().getFirst();
    await(
        processes
            .caller()
            .call("GET", router.front().httpUrl("/services/x/"), Map.of(), "", TIMEOUT));
    JsonNode metrics = metricsOnceLinked(router);
    assertTrue(metrics.at("/counters/callers.refused.key-missing").asInt() > 0, metrics.toString());
    assertEquals(metrics.at("/counters/mailbox.full").asInt(-1), 0);
    assertEquals(linksUp(metrics), fleet.nodes().size() - 1);
    assertTrue(metrics.at("/gauges/table.confirmed-age-millis").isNumber(), metrics.toString());
    assertTrue(metrics.at("/gauges/instances.confirmed-age-millis").isNumber(), metrics.toString());
    JsonNode sidecar = metrics(fleet.sidecars().getFirst());
    assertTrue(sidecar.at("/gauges/sidecar.slots").asInt() > 0, sidecar.toString());
    assertTrue(sidecar.at("/gauges/sidecar.upstream-healthy").asBoolean());
    assertTrue(sidecar.at("/gauges/table.version").asInt() > 0);
  }

  @Test(
      dependsOnMethods = {
        "statusListsEveryProcess",
        "workspacesCountsEndedRequestsAndExplainShowsThem",
        "watchReportsChangeAtEveryProcess",
        "metricsHaveTheNamesThatOperatorsRead"
      })
  public void drainStopsOneProcessGracefully() throws Exception {
    assertEquals(run("drain"), 2);
    assertEquals(run("drain --json --only " + DESK), 0, output());
    assertEquals(json(0).path("instance").asText(), DESK);
    assertEquals((int) await(processes.child(DESK).exitStatus()), 0);
    assertEquals(run("status"), 3);
    assertTrue(lines.contains(DESK + " cannot be reached"), output());
    for (FleetNode node : fleet.nodes()) {
      for (String line : processes.child(node.name()).output().lines().toList()) {
        assertTrue(mapper.readTree(line).has("event") || line.contains("\"message\""), line);
        assertTrue(!line.contains(STRINGS.key()), line);
      }
    }
  }

  /** Returns the metrics of a router that is linked to all nodes; it is ready before. */
  private JsonNode metricsOnceLinked(FleetNode router) throws Exception {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    JsonNode metrics = metrics(router);
    while (linksUp(metrics) < fleet.nodes().size() - 1 && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      metrics = metrics(router);
    }
    return metrics;
  }

  private static int linksUp(JsonNode metrics) {
    return metrics.at("/gauges/links.up").asInt();
  }

  private JsonNode metrics(FleetNode node) throws Exception {
    String authorization = "Bearer " + Files.readString(key);
    String url = node.administration().httpUrl("/v1/metrics");
    Map<String, String> headers = Map.of("Authorization", authorization);
    return mapper.readTree(await(processes.caller().call("GET", url, headers, "", TIMEOUT)).body());
  }

  private CallResult call(TrialWorkspace workspace, ServiceCall call) throws Exception {
    return await(
        new ServiceCaller(processes.caller(), TIMEOUT)
            .call(fleet.routers().getFirst().front(), workspace, call));
  }

  private int run(String command) {
    return run(command, key);
  }

  private int run(String command, Path keyFile) {
    String platform = fleet.platform().httpUrl("");
    return runCommand(command + " --instances " + platform + " --key-file " + keyFile);
  }

  private int runCommand(String command) {
    lines.clear();
    return AgatepierCommand.run(
        command.split(" "), new RecordingReporter(), settings -> 0, settings -> 0);
  }

  private JsonNode json(int index) throws Exception {
    return mapper.readTree(lines.get(index));
  }

  private String output() {
    return String.join("\n", lines);
  }

  private String line(String start) {
    return lineWith(output(), start);
  }

  private static String lineWith(String text, String part) {
    return text.lines().filter(line -> line.contains(part)).findFirst().orElseThrow();
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  /** Records the printed lines; checks that a line of text has at most 80 columns. */
  private final class RecordingReporter implements Reporter {
    @Override
    public void printLine(String text) {
      assertTrue(text.length() <= 80, text);
      lines.add(text);
    }

    @Override
    public void printJson(JsonNode value) {
      lines.add(value.toString());
    }

    @Override
    public void printError(String text) {
      lines.add(text);
    }
  }
}

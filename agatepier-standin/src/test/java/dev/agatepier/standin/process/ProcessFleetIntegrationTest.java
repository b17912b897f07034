package dev.agatepier.standin.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ProcessFleetIntegrationTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int KILLED_STATUS = 137;
  private static final int CRASHED_STATUS = 70;

  private ProcessFleet fleet;
  private Endpoint endpoint;

  @BeforeMethod
  public void start() throws Exception {
    fleet = new ProcessFleet(Files.createTempDirectory("agatepier-fleet"));
    fleet.start().join();
    endpoint = Endpoint.onFreePort("127.0.3.1");
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    await(fleet.stop());
  }

  @Test
  public void recordSurvivesKillAndRestart() throws Exception {
    ChildProcess first = startPlain();
    assertTrue(await(postOrder("o-1")).body().contains("\"order\":\"o-1\""));
    await(first.sendSignal(ProcessSignal.KILL));
    assertEquals((int) await(first.exitStatus()), KILLED_STATUS);
    ChildProcess second = startPlain();
    await(postOrder("o-2"));
    await(fleet.stop());
    assertFalse(second.alive());
    String record = Files.readString(fleet.recordFile("desk"));
    assertEquals(record.lines().filter(line -> line.contains("\"state\":\"WHOLE\"")).count(), 2);
  }

  @Test
  public void pausedProcessRespondsAfterItResumes() throws Exception {
    ChildProcess desk = startPlain();
    await(desk.sendSignal(ProcessSignal.STOP));
    CompletableFuture<HttpResponse> response = postOrder("o-3");
    await(desk.sendSignal(ProcessSignal.CONT));
    assertEquals(await(response).status(), 200);
  }

  @Test
  public void engineWritesItsRecordBeforeItCrashes() throws Exception {
    String record = fleet.recordFile("engine").toString();
    ChildProcess engine =
        await(fleet.startStandin("engine", "engine", endpoint, "--record", record));
    post("/v1/chat/completions", "{\"prompt\":\"crash-upstream\"}");
    assertEquals((int) await(engine.exitStatus()), CRASHED_STATUS);
    assertTrue(Files.readString(fleet.recordFile("engine")).contains("\"state\":\"RUNNING\""));
  }

  @Test
  public void earlyExitIsReportedWithOutput() {
    FleetException failure =
        expectThrows(
            FleetException.class,
            () -> {
              try {
                await(fleet.startStandin("desk", "plain", endpoint, "--no-such-argument"));
              } catch (ExecutionException executionFailure) {
                throw executionFailure.getCause();
              }
            });
    assertTrue(failure.getMessage().contains("no-such-argument"), failure.getMessage());
  }

  @Test(dataProvider = "programs")
  public void commandKnowsEveryProgram(String program) throws Exception {
    ChildProcess child = fleet.startStandinCommand("help", List.of(program, "--help"));
    assertEquals((int) await(child.exitStatus()), 0, child.output());
  }

  @DataProvider
  public Object[][] programs() {
    return new Object[][] {{"platform"}, {"engine"}, {"plain"}, {"proxy"}, {"load"}, {"demo"}};
  }

  private ChildProcess startPlain() throws Exception {
    String record = fleet.recordFile("desk").toString();
    return await(fleet.startStandin("desk", "plain", endpoint, "--record", record));
  }

  private CompletableFuture<HttpResponse> postOrder(String order) {
    return post("/confirmations", "{\"order\":\"" + order + "\"}");
  }

  private CompletableFuture<HttpResponse> post(String path, String body) {
    return fleet.caller().call("POST", endpoint.httpUrl(path), Map.of(), body, TIMEOUT);
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }
}

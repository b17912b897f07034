package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.VirtualCallers.VirtualCall;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.Test;

public class OutcomesUnderFaultsTest {

  private static final int SEEDS = 1_200;
  private static final int CALLS = 60;
  private static final int CRASHING_CALLERS = 3;
  private static final int CRASHES = RouterPolicy.DEFAULT.quarantineDeaths();

  private final Map<String, Integer> counts = new TreeMap<>();

  @Test
  public void everyReportedOutcomeIsTrueUnderFaults() {
    counts.clear();
    for (int seed = 1; seed <= SEEDS; seed++) {
      run(seed, true, seed % 2);
    }
    System.out.println("faults, seeds 1 to " + SEEDS + ": " + counts);
    for (Outcome outcome : Outcome.values()) {
      assertTrue(
          counts.get(outcome.code()) > SEEDS, "too few outcomes for a meaningful check: " + counts);
    }
  }

  @Test
  public void crashingRequestIsQuarantinedAndOthersFinish() {
    counts.clear();
    int maximumCrashes = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      SimulatedFleet fleet = run(seed, false, CRASHING_CALLERS);
      maximumCrashes = Math.max(maximumCrashes, fleet.crashes);
      for (VirtualCall call : fleet.callers.calls.values()) {
        boolean harmless = !call.call.body().text().startsWith(VirtualUpstream.CRASH);
        boolean idempotent = call.call.head().method().equals("GET");
        require(
            fleet,
            !harmless || call.reason != Reason.QUARANTINED,
            "a harmless request was quarantined");
        boolean interrupted = call.end.equals("unknown") && call.responseStarts == 0;
        require(
            fleet,
            !harmless || !idempotent || !interrupted,
            "a harmless request was interrupted: " + call.reason);
      }
      require(fleet, fleet.crashes <= CRASHES + CRASHING_CALLERS - 1, fleet.crashes + " crashes");
      assertTrue(fleet.violations.isEmpty(), "seed " + seed + ": " + fleet.violations);
    }
    System.out.println("at most " + maximumCrashes + " crashes in one of " + SEEDS + " seeds");
    assertTrue(maximumCrashes >= CRASHES, "no run reached the quarantine threshold");
  }

  private SimulatedFleet run(int seed, boolean faulty, int crashing) {
    SimulatedFleet fleet = new SimulatedFleet(seed, faulty);
    for (int call = 0; call < CALLS; call++) {
      fleet.time.after(
          fleet.time.draw((int) SimulatedFleet.FAULTS_MILLIS), fleet.callers::callOrRequestTicket);
    }
    for (int caller = 0; caller < crashing; caller++) {
      String method = fleet.time.chance(0.5) ? "GET" : "POST";
      fleet.time.after(
          fleet.time.draw(1_000),
          () ->
              fleet.callers.call(
                  fleet.anyRouter(), method, VirtualUpstream.CRASH, Optional.empty(), 0));
    }
    fleet.time.run();
    fleet.callers.calls.values().forEach(call -> check(fleet, call));
    fleet.routers.forEach(
        router -> assertEquals(router.snapshot().queues(), List.of(), "seed " + seed));
    for (VirtualSidecar sidecar : fleet.sidecars) {
      assertEquals(sidecar.snapshot().running(), 0, "seed " + seed + ": " + sidecar.name);
    }
    assertTrue(fleet.violations.isEmpty(), "seed " + seed + ": " + fleet.violations);
    return fleet;
  }

  private void check(SimulatedFleet fleet, VirtualCall call) {
    String name = call.call.request() + (call.call.ticket().isPresent() ? " ticketed" : "");
    int runs = fleet.runs.getOrDefault(call.call.request(), List.of()).size();
    boolean idempotent = call.call.head().method().equals("GET");
    counts.merge(call.end, 1, Integer::sum);
    counts.merge("run again", idempotent && runs > 1 ? 1 : 0, Integer::sum);
    boolean replayed = runs == 0 && call.end.equals("completed");
    counts.merge("replayed", replayed ? 1 : 0, Integer::sum);
    require(fleet, !call.end.isEmpty(), name + " never ended");
    require(fleet, call.responseStarts <= 1, name + " started twice");
    require(fleet, idempotent || runs <= 1, name + " ran twice");
    require(fleet, !call.end.equals("not-run") || runs == 0, name + " reported not-run, but ran");
    boolean complete = fleet.callers.validResponses(call.call).contains(call.response.toString());
    require(
        fleet,
        !call.end.equals("completed") || complete,
        name + " completed with a wrong response");
  }

  private static void require(SimulatedFleet fleet, boolean condition, String violation) {
    if (!condition) {
      fleet.violations.add(violation);
    }
  }
}

package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterFleet.FakeCall;
import dev.agatepier.core.request.Outcome;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

public class RouterDecisionFaultsTest {

  private static final int SEEDS = 1_000;

  private final Map<String, Integer> counts = new TreeMap<>();

  @Test
  public void keepsItsPromisesUnderFaults() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      RouterFleet fleet = new RouterFleet(seed);
      fleet.run();
      fleet.calls.values().forEach(call -> check(fleet, call));
      for (RouterDecision router : fleet.routers) {
        assertEquals(router.snapshot(Long.MAX_VALUE).queues(), List.of(), "seed " + seed);
      }
      assertTrue(fleet.faults.isEmpty(), "seed " + seed + ": " + fleet.faults);
    }
    System.out.println("seeds 1 to " + SEEDS + ": " + counts);
    for (Outcome outcome : Outcome.values()) {
      assertTrue(counts.get(outcome.code()) > SEEDS, "too few to prove much: " + counts);
    }
  }

  private void check(RouterFleet fleet, FakeCall call) {
    String name = call.call.request() + (call.call.ticket().isPresent() ? " ticketed" : "");
    int runs = fleet.runs.getOrDefault(call.call.request(), 0);
    boolean idempotent = call.call.head().method().equals("GET");
    counts.merge(call.end, 1, Integer::sum);
    counts.merge(idempotent && runs > 1 ? "retried" : "", 1, Integer::sum);
    require(fleet, !call.end.isEmpty(), name + " never ended");
    require(fleet, call.begins <= 1, name + " began twice");
    require(fleet, idempotent || runs <= 1, name + " ran twice");
    require(fleet, !call.end.equals("not-run") || runs == 0, name + " not run, but ran");
    boolean whole = fleet.answersTo(call.call).contains(call.answer.toString());
    require(fleet, !call.end.equals("completed") || whole, name + " answered wrongly");
  }

  private static void require(RouterFleet fleet, boolean holds, String fault) {
    if (!holds) {
      fleet.faults.add(fault);
    }
  }
}

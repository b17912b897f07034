package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.FairnessFleet.Sizes;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleBinaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FairnessBoundTest {
  private static final long SEED = 20_261_204;
  private static final int SLOTS = 4;
  private static final int RUN_MILLIS = 200_000;
  private static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");
  private static final List<String> BACKLOGGED = List.of("festival", "quartet", "summaries");
  private static final Map<String, Sizes> SIZES =
      Map.of(
          "festival", new Sizes(100, 400),
          "quartet", new Sizes(4, 40),
          "summaries", new Sizes(20, 200),
          "rigging", new Sizes(4, 400));
  private static final Map<String, Double> WEIGHTS =
      Map.of("festival", 1.0, "quartet", 1.0, "summaries", 2.0, "rigging", 1.0);

  /**
   * Delay of a cost report that passes two cost aggregators: three report intervals, each with one
   * tick, and three links.
   */
  private static final double EXCHANGE_SECONDS =
      (3 * (250 + FairnessFleet.TICK_MILLIS) + 3 * FairnessFleet.FAR_MILLIS) / 1_000.0;

  /**
   * A slot streams 100 tokens a second, and the same number of prompt tokens is charged at the end.
   */
  private static final FairnessBound BOUND =
      new FairnessBound(400, 3 * SLOTS, EXCHANGE_SECONDS, 3 * SLOTS * 200);

  @DataProvider
  public static Object[][] fleets() {
    return new Object[][] {
      {"virtual-service", true, "kolkata-a", true},
      {"virtual-service", false, "kolkata-a", true},
      {"virtual-service", true, "siliguri-a", true},
      {"virtual-service", false, "siliguri-a", true},
      {"local-service", false, "kolkata-a", false},
      {"local-service", false, "siliguri-a", false},
    };
  }

  @Test(dataProvider = "fleets")
  public void gapOfBackloggedWorkspacesStaysUnderBound(
      String order, boolean even, String secondDataCentre, boolean within) {
    FairnessFleet fleet = busyFleet(order, even, secondDataCentre);
    double[] worst = {0};
    fleet.onServed = () -> worst[0] = Math.max(worst[0], worstShareOfBound(fleet));
    fleet.runUntil(RUN_MILLIS);
    String result =
        "%s, %s spread, data centre %s, seed %d: worst gap is %.3f of the bound, served %s"
            .formatted(
                order, even ? "even" : "uneven", secondDataCentre, SEED, worst[0], fleet.served);
    System.out.println(result);
    assertEquals(worst[0] <= 1, within, result);
    int delay =
        secondDataCentre.equals("kolkata-a") ? FairnessFleet.NEAR_MILLIS : FairnessFleet.FAR_MILLIS;
    long idleMillis = 3L * SLOTS * RUN_MILLIS - fleet.busyMillis;
    long unfinishedMillis = 3L * SLOTS * FairnessFleet.CHUNK_MILLIS;
    long allowedMillis = (fleet.requests + 3 * SLOTS) * 2 * delay + unfinishedMillis;
    assertTrue(idleMillis <= allowedMillis, "idle " + idleMillis + " ms of " + allowedMillis);
  }

  @Test
  public void addsUnreportedCostOfBothWorkspaces() {
    assertEquals(new FairnessBound(10, 3, 0.5, 40).gap(1, 2), 75.0);
  }

  @Test
  public void gapReturnsUnderBoundAfterPartition() {
    FairnessFleet fleet = fleet("virtual-service", "siliguri-a");
    partitionDemand(fleet);
    fleet.runUntil(20_000);
    fleet.partition();
    fleet.runUntil(50_000);
    final double gap = worstShareOfBound(fleet);
    final double gapPerWeight = worstGap(fleet);
    final double rate = totalServed(fleet) / 50_000;
    fleet.healPartition();
    partitionDemand(fleet);
    double weights = BACKLOGGED.stream().mapToDouble(WEIGHTS::get).sum();
    double closingMillis = EXCHANGE_SECONDS * 1_000 + gapPerWeight * weights / rate;
    fleet.runUntil(50_000 + (long) closingMillis);
    String result =
        "partition, seed %d: gap %.3f of the bound at its end, %.3f after %.0f ms"
            .formatted(SEED, gap, worstShareOfBound(fleet), closingMillis);
    System.out.println(result);
    assertTrue(gap > 1, result);
    assertTrue(worstShareOfBound(fleet) <= 1, result);
  }

  private static void partitionDemand(FairnessFleet fleet) {
    for (String engine : ENGINES) {
      fleet.demand("router-1", engine, "festival", true);
      fleet.demand("router-2", engine, "festival", true);
      fleet.demand("router-1", engine, "summaries", true);
      fleet.demand("router-2", engine, "quartet", true);
    }
  }

  private static double totalServed(FairnessFleet fleet) {
    return fleet.served.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  private static FairnessFleet fleet(String order, String secondDataCentre) {
    FairnessFleet fleet = new FairnessFleet(SEED, SIZES);
    Table table = SidecarFixture.table(ServiceKind.MODEL, WEIGHTS);
    fleet.addRouter(SidecarFixture.router("router-1", 1, "kolkata-a"));
    fleet.addRouter(SidecarFixture.router("router-2", 2, secondDataCentre));
    SidecarPolicy policy = SidecarFixture.policy(order, SLOTS);
    fleet.addSidecar(SidecarFixture.sidecar("engine-1", "kolkata-a"), policy, table);
    fleet.addSidecar(SidecarFixture.sidecar("engine-2", secondDataCentre), policy, table);
    fleet.addSidecar(SidecarFixture.sidecar("engine-3", secondDataCentre), policy, table);
    fleet.linkAll();
    return fleet;
  }

  private static FairnessFleet busyFleet(String order, boolean even, String secondDataCentre) {
    FairnessFleet fleet = fleet(order, secondDataCentre);
    for (String engine : ENGINES) {
      fleet.demand("router-1", engine, "festival", true);
      fleet.demand("router-2", engine, "festival", true);
      fleet.demand("router-2", engine, "summaries", true);
      if (even || !engine.equals("engine-1")) {
        fleet.demand("router-1", engine, "quartet", true);
      }
      for (int millis = 5_000; millis < RUN_MILLIS; millis += 10_000) {
        fleet.schedule(millis, () -> fleet.demand("router-1", engine, "rigging", true));
        fleet.schedule(millis + 3_000, () -> fleet.demand("router-1", engine, "rigging", false));
      }
    }
    return fleet;
  }

  private static double worstShareOfBound(FairnessFleet fleet) {
    return worst(fleet, BOUND::gap);
  }

  private static double worstGap(FairnessFleet fleet) {
    return worst(fleet, (first, second) -> 1);
  }

  private static double worst(FairnessFleet fleet, DoubleBinaryOperator unit) {
    double worst = 0;
    for (String first : BACKLOGGED) {
      for (String second : BACKLOGGED) {
        double gap = perWeight(fleet, first) - perWeight(fleet, second);
        double bound = unit.applyAsDouble(WEIGHTS.get(first), WEIGHTS.get(second));
        worst = Math.max(worst, gap / bound);
      }
    }
    return worst;
  }

  private static double perWeight(FairnessFleet fleet, String workspace) {
    return fleet.served.getOrDefault(workspace, 0.0) / WEIGHTS.get(workspace);
  }
}

package dev.agatepier.core.process;

import static dev.agatepier.core.process.SidecarFixture.ROUTER;
import static dev.agatepier.core.process.SidecarFixture.attempt;
import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarEvent.MessageReceived;
import dev.agatepier.core.process.SidecarEvent.RouterConnected;
import dev.agatepier.core.process.SidecarEvent.RouterDisconnected;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseCompleted;
import java.util.List;
import org.testng.annotations.Test;

public class SidecarCostExchangeTest {
  private static final PeerIdentity REMOTE = SidecarFixture.router("far", 3, "siliguri-a");

  private static FleetCosts fleetCosts(long incarnation, String workspace, double cost) {
    return new FleetCosts(incarnation, List.of(new WorkspaceCost(workspace, cost)));
  }

  private static SidecarSnapshot.ShareStatus share(SidecarFixture sidecar, String workspace) {
    return sidecar.decision.snapshot(0).shares().stream()
        .filter(status -> status.workspace().equals(workspace))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void reportsAllCostsToNewAggregatorAndThenChanges() {
    SidecarFixture sidecar = SidecarFixture.model(2);
    assertEquals(sidecar.onlyMessage(CostReport.class), new CostReport(List.of(), List.of()));
    sidecar.run("quartet", attempt(1)).dispatch(new UpstreamResponseCompleted(attempt(1), 9));
    sidecar.run("festival", attempt(2)).advance(250);
    assertEquals(
        sidecar.onlyMessage(CostChanges.class),
        new CostChanges(
            List.of(new WorkspaceCost("festival", 9), new WorkspaceCost("quartet", 9)),
            List.of("festival"),
            List.of()));
    assertEquals(sidecar.advance(250).sent(LinkMessage.class), List.of(), "nothing changed");
    sidecar.dispatch(new UpstreamResponseCompleted(attempt(2), 30));
    assertEquals(
        sidecar.onlyMessage(CostChanges.class),
        new CostChanges(
            List.of(new WorkspaceCost("festival", 30)), List.of(), List.of("festival")));
    sidecar.dispatch(new RouterDisconnected(ROUTER)).dispatch(new RouterConnected(ROUTER));
    assertEquals(
        sidecar.onlyMessage(CostReport.class).costs().size(),
        2,
        "all costs again after a reconnect");
    sidecar.dispatch(new RouterConnected(ROUTER));
    assertEquals(
        sidecar.onlyMessage(CostReport.class).costs().size(), 2, "all costs again on another link");
    sidecar.advance(299_999);
    assertEquals(sidecar.sent(CostReport.class), List.of());
    assertEquals(
        sidecar.advance(1).onlyMessage(CostReport.class).costs().size(),
        2,
        "the full report is repeated");
  }

  @Test
  public void prefersAggregatorOfOwnDataCentre() {
    SidecarFixture sidecar = SidecarFixture.model(1).dispatch(new RouterConnected(REMOTE));
    assertEquals(sidecar.decision.snapshot(0).holder(), "router-1");
    sidecar.dispatch(new RouterDisconnected(ROUTER));
    assertEquals(sidecar.decision.snapshot(0).holder(), "far");
  }

  @Test
  public void appliesSumsAsIncrementsOfOneAggregator() {
    SidecarFixture sidecar = SidecarFixture.model(1).dispatch(new RouterConnected(REMOTE));
    sidecar.receive(fleetCosts(1, "quartet", 500));
    assertEquals(share(sidecar.demand("quartet", 1, 0), "quartet").fleetCost(), 0.0, "baseline");
    sidecar.receive(fleetCosts(1, "quartet", 520)).receive(fleetCosts(1, "quartet", 510));
    sidecar.receive(fleetCosts(1, "quartet", 520));
    assertEquals(share(sidecar, "quartet").fleetCost(), 20.0);
    sidecar.dispatch(new MessageReceived(REMOTE, fleetCosts(3, "quartet", 900)));
    assertEquals(share(sidecar, "quartet").fleetCost(), 20.0, "not the sidecar's aggregator");
    sidecar
        .dispatch(new RouterDisconnected(ROUTER))
        .dispatch(new MessageReceived(REMOTE, fleetCosts(3, "quartet", 900)));
    sidecar.dispatch(new MessageReceived(REMOTE, fleetCosts(3, "quartet", 905)));
    assertEquals(share(sidecar, "quartet").fleetCost(), 25.0);
  }

  @Test
  public void keepsSumsAcrossReconnectAndLimitsCatchUp() {
    SidecarFixture sidecar = SidecarFixture.model(1);
    sidecar.demand("solo", 9, 0).demand("quartet", 9, 0).demand("festival", 9, 0);
    sidecar.receive(fleetCosts(1, "quartet", 0)).receive(fleetCosts(1, "festival", 0));
    sidecar.dispatch(new RouterDisconnected(ROUTER)).dispatch(new RouterConnected(ROUTER));
    sidecar.demand("quartet", 9, 0).demand("festival", 9, 0);
    double least = share(sidecar, "festival").virtualService();
    sidecar.receive(fleetCosts(1, "quartet", 1e9));
    assertEquals(share(sidecar, "quartet").virtualService(), least + 100_000);
    sidecar.receive(fleetCosts(1, "festival", 40));
    assertEquals(share(sidecar, "festival").fleetCost(), 40.0, "no new baseline");
  }
}

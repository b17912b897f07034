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
import dev.agatepier.core.process.SidecarEvent.MessageArrived;
import dev.agatepier.core.process.SidecarEvent.RouterConnected;
import dev.agatepier.core.process.SidecarEvent.RouterDisconnected;
import dev.agatepier.core.process.SidecarEvent.UpstreamResponseCompleted;
import java.util.List;
import org.testng.annotations.Test;

public class SidecarCostExchangeTest {
  private static final PeerIdentity FAR = SidecarFixture.router("far", 3, "siliguri-a");

  private static FleetCosts sums(long incarnation, String workspace, double cost) {
    return new FleetCosts(incarnation, List.of(new WorkspaceCost(workspace, cost)));
  }

  private static SidecarSnapshot.ShareStatus share(SidecarFixture bench, String workspace) {
    return bench.decision.snapshot(0).shares().stream()
        .filter(status -> status.workspace().equals(workspace))
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void reportsAllToNewHolderThenChanges() {
    SidecarFixture bench = SidecarFixture.model(2);
    assertEquals(bench.only(CostReport.class), new CostReport(List.of(), List.of()));
    bench.run("quartet", attempt(1)).tell(new UpstreamResponseCompleted(attempt(1), 9));
    bench.run("festival", attempt(2)).after(250);
    assertEquals(
        bench.only(CostChanges.class),
        new CostChanges(
            List.of(new WorkspaceCost("festival", 9), new WorkspaceCost("quartet", 9)),
            List.of("festival"),
            List.of()));
    assertEquals(bench.after(250).sent(LinkMessage.class), List.of(), "nothing changed");
    bench.tell(new UpstreamResponseCompleted(attempt(2), 30));
    assertEquals(
        bench.only(CostChanges.class),
        new CostChanges(
            List.of(new WorkspaceCost("festival", 30)), List.of(), List.of("festival")));
    bench.tell(new RouterDisconnected(ROUTER)).tell(new RouterConnected(ROUTER));
    assertEquals(bench.only(CostReport.class).costs().size(), 2, "relinked: all again");
    bench.tell(new RouterConnected(ROUTER));
    assertEquals(bench.only(CostReport.class).costs().size(), 2, "another link: all again");
    bench.after(299_999);
    assertEquals(bench.sent(CostReport.class), List.of());
    assertEquals(bench.after(1).only(CostReport.class).costs().size(), 2, "repeated");
  }

  @Test
  public void prefersHolderOfOwnDataCentre() {
    SidecarFixture bench = SidecarFixture.model(1).tell(new RouterConnected(FAR));
    assertEquals(bench.decision.snapshot(0).holder(), "router-1");
    bench.tell(new RouterDisconnected(ROUTER));
    assertEquals(bench.decision.snapshot(0).holder(), "far");
  }

  @Test
  public void takesSumsAsIncrementsOfOneHolder() {
    SidecarFixture bench = SidecarFixture.model(1).tell(new RouterConnected(FAR));
    bench.hear(sums(1, "quartet", 500));
    assertEquals(share(bench.demand("quartet", 1, 0), "quartet").fleetCost(), 0.0, "baseline");
    bench.hear(sums(1, "quartet", 520)).hear(sums(1, "quartet", 510));
    bench.hear(sums(1, "quartet", 520));
    assertEquals(share(bench, "quartet").fleetCost(), 20.0);
    bench.tell(new MessageArrived(FAR, sums(3, "quartet", 900)));
    assertEquals(share(bench, "quartet").fleetCost(), 20.0, "not the holder");
    bench
        .tell(new RouterDisconnected(ROUTER))
        .tell(new MessageArrived(FAR, sums(3, "quartet", 900)));
    bench.tell(new MessageArrived(FAR, sums(3, "quartet", 905)));
    assertEquals(share(bench, "quartet").fleetCost(), 25.0);
  }

  @Test
  public void keepsSumsOverCutAndCapsCatchUp() {
    SidecarFixture bench = SidecarFixture.model(1);
    bench.demand("solo", 9, 0).demand("quartet", 9, 0).demand("festival", 9, 0);
    bench.hear(sums(1, "quartet", 0)).hear(sums(1, "festival", 0));
    bench.tell(new RouterDisconnected(ROUTER)).tell(new RouterConnected(ROUTER));
    bench.demand("quartet", 9, 0).demand("festival", 9, 0);
    double least = share(bench, "festival").virtualService();
    bench.hear(sums(1, "quartet", 1e9));
    assertEquals(share(bench, "quartet").virtualService(), least + 100_000);
    bench.hear(sums(1, "festival", 40));
    assertEquals(share(bench, "festival").fleetCost(), 40.0, "no new baseline");
  }
}

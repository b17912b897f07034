package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.DataCentreCosts;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.CostAggregatorEffect.Send;
import dev.agatepier.core.process.CostAggregatorEvent.MessageReceived;
import dev.agatepier.core.process.CostAggregatorEvent.PeerConnected;
import dev.agatepier.core.process.CostAggregatorEvent.PeerDisconnected;
import dev.agatepier.core.process.CostAggregatorEvent.Tick;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CostAggregatorDecisionTest {
  private static final PeerIdentity SELF = SidecarFixture.router("router-1", 1, "kolkata-a");
  private static final PeerIdentity REMOTE = SidecarFixture.router("far-1", 5, "siliguri-a");
  private static final PeerIdentity OTHER_REMOTE = SidecarFixture.router("far-2", 6, "siliguri-a");
  private static final PeerIdentity FIRST = SidecarFixture.sidecar("engine-1", "kolkata-a");
  private static final PeerIdentity SECOND = SidecarFixture.sidecar("engine-2", "kolkata-a");

  private CostAggregatorDecision aggregator;
  private long nowMillis;

  @BeforeMethod
  public void linkTwoSubscribedSidecars() {
    aggregator = new CostAggregatorDecision(SELF, CostAggregatorPolicy.DEFAULT);
    nowMillis = 10_000;
    for (PeerIdentity sidecar : List.of(FIRST, SECOND)) {
      dispatch(new PeerConnected(sidecar));
      assertEquals(
          reportCost(sidecar, 0),
          List.of(fleetCosts(sidecar, 0)),
          "sums are sent at once to a new subscriber");
    }
    advance(250);
  }

  private List<CostAggregatorEffect> dispatch(CostAggregatorEvent event) {
    return aggregator.decide(event, TimeUnit.MILLISECONDS.toNanos(nowMillis));
  }

  private List<CostAggregatorEffect> advance(long millis) {
    nowMillis += millis;
    return dispatch(new Tick());
  }

  private static List<WorkspaceCost> quartetCost(double cost) {
    return List.of(new WorkspaceCost("quartet", cost));
  }

  private List<CostAggregatorEffect> reportCost(PeerIdentity sidecar, double cost) {
    CostReport report = new CostReport(quartetCost(cost), List.of("quartet"));
    return dispatch(new MessageReceived(sidecar, report));
  }

  private static CostAggregatorEffect fleetCosts(PeerIdentity sidecar, double cost) {
    return new Send(sidecar.instance(), new FleetCosts(1, quartetCost(cost)));
  }

  private List<CostAggregatorEffect> reportDataCentreCosts(PeerIdentity sender, double cost) {
    LinkMessage costs = new DataCentreCosts("plan-model", quartetCost(cost));
    return dispatch(new MessageReceived(sender, costs));
  }

  @Test
  public void sendsEachSidecarTheCostsOfTheOthersAtItsInterval() {
    assertEquals(reportCost(FIRST, 10), List.of(), "not before the interval is over");
    reportCost(SECOND, 3);
    assertEquals(advance(250), List.of(fleetCosts(FIRST, 3), fleetCosts(SECOND, 10)));
    assertEquals(advance(250), List.of(), "nothing has changed");
    reportCost(FIRST, 10);
    reportCost(FIRST, 8);
    assertEquals(advance(250), List.of(), "repeated and older values are harmless");
  }

  @Test
  public void usesFirstReportOfUnknownIncarnationAsBaseline() {
    PeerIdentity three = SidecarFixture.sidecar("engine-3", "kolkata-a");
    dispatch(new PeerConnected(three));
    reportCost(three, 700);
    assertEquals(advance(250), List.of());
    reportCost(three, 705);
    assertEquals(advance(250), List.of(fleetCosts(FIRST, 5), fleetCosts(SECOND, 5)));
  }

  @Test
  public void acceptsChangesOnlyAfterReport() {
    dispatch(
        new MessageReceived(FIRST, new CostChanges(quartetCost(5), List.of(), List.of("quartet"))));
    assertEquals(advance(250), List.of(fleetCosts(SECOND, 5)));
    reportCost(SECOND, 7);
    assertEquals(advance(250), List.of(), "no longer subscribed");
    dispatch(new MessageReceived(FIRST, new CostChanges(List.of(), List.of("quartet"), List.of())));
    assertEquals(
        advance(250), List.of(fleetCosts(FIRST, 7)), "receives the changes of the meantime");
    dispatch(new PeerDisconnected(FIRST));
    dispatch(new PeerConnected(FIRST));
    dispatch(
        new MessageReceived(FIRST, new CostChanges(quartetCost(9), List.of("quartet"), List.of())));
    assertEquals(advance(250), List.of(), "changes without an earlier report are ignored");
    assertEquals(reportCost(FIRST, 9), List.of(fleetCosts(FIRST, 7)));
    assertEquals(advance(250), List.of(fleetCosts(SECOND, 9)));
  }

  @Test
  public void countsCostsOfKnownSidecarDuringDisconnection() {
    dispatch(new PeerDisconnected(FIRST));
    advance(1_000);
    dispatch(new PeerConnected(FIRST));
    assertEquals(reportCost(FIRST, 40), List.of(fleetCosts(FIRST, 0)));
    assertEquals(advance(250), List.of(fleetCosts(SECOND, 40)));
  }

  @Test
  public void removesProcessAfterLongDisconnection() {
    dispatch(new PeerDisconnected(FIRST));
    advance(CostAggregatorPolicy.DEFAULT.retentionMillis());
    dispatch(new PeerConnected(FIRST));
    reportCost(FIRST, 40);
    assertEquals(advance(250), List.of(), "the report is a new baseline");
  }

  @Test
  public void sendsOwnDataCentreCostsToOneRouterOfEachOtherDataCentre() {
    dispatch(new PeerConnected(REMOTE));
    dispatch(new PeerConnected(OTHER_REMOTE));
    reportDataCentreCosts(REMOTE, 0);
    reportDataCentreCosts(REMOTE, 1_000);
    reportCost(FIRST, 10);
    List<CostAggregatorEffect> effects = new ArrayList<>(advance(250));
    effects.removeIf(effect -> ((Send) effect).message() instanceof FleetCosts);
    assertEquals(effects.size(), 1);
    Send sent = (Send) effects.getFirst();
    assertEquals(sent.message(), new DataCentreCosts("plan-model", quartetCost(10)));
    PeerIdentity receiver = sent.instance().equals("far-1") ? REMOTE : OTHER_REMOTE;
    assertEquals(advance(250), List.of(), "nothing changed");
    dispatch(new PeerDisconnected(receiver));
    assertEquals(advance(250).size(), 1, "the other router receives all sums");
  }

  @Test
  public void countsCostsOfOtherDataCentreOnce() {
    dispatch(new PeerConnected(REMOTE));
    reportDataCentreCosts(REMOTE, 100);
    reportDataCentreCosts(REMOTE, 130);
    assertEquals(advance(250), List.of(fleetCosts(FIRST, 30), fleetCosts(SECOND, 30)));
    dispatch(new PeerDisconnected(REMOTE));
    dispatch(new PeerConnected(REMOTE));
    reportDataCentreCosts(REMOTE, 150);
    assertEquals(
        advance(250).getFirst(), fleetCosts(FIRST, 50), "costs during the disconnection are added");
    dispatch(new PeerDisconnected(REMOTE));
    dispatch(new PeerConnected(OTHER_REMOTE));
    reportDataCentreCosts(OTHER_REMOTE, 150);
    reportDataCentreCosts(OTHER_REMOTE, 160);
    assertEquals(advance(250).getFirst(), fleetCosts(FIRST, 60));
    dispatch(new PeerConnected(REMOTE));
    reportDataCentreCosts(REMOTE, 160);
    assertEquals(advance(250), List.of(), "the other router has already reported those costs");
  }
}

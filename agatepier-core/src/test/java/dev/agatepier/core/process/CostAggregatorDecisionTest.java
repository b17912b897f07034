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
import dev.agatepier.core.process.CostAggregatorEvent.MessageArrived;
import dev.agatepier.core.process.CostAggregatorEvent.PeerConnected;
import dev.agatepier.core.process.CostAggregatorEvent.PeerDisconnected;
import dev.agatepier.core.process.CostAggregatorEvent.TimePassed;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CostAggregatorDecisionTest {
  private static final PeerIdentity SELF = SidecarFixture.router("router-1", 1, "kolkata-a");
  private static final PeerIdentity FAR = SidecarFixture.router("far-1", 5, "siliguri-a");
  private static final PeerIdentity FAR_TOO = SidecarFixture.router("far-2", 6, "siliguri-a");
  private static final PeerIdentity ONE = SidecarFixture.sidecar("engine-1", "kolkata-a");
  private static final PeerIdentity TWO = SidecarFixture.sidecar("engine-2", "kolkata-a");

  private CostAggregatorDecision holder;
  private long nowMillis;

  @BeforeMethod
  public void twoSidecarsWithInterest() {
    holder = new CostAggregatorDecision(SELF, CostAggregatorPolicy.DEFAULT);
    nowMillis = 10_000;
    for (PeerIdentity sidecar : List.of(ONE, TWO)) {
      tell(new PeerConnected(sidecar));
      assertEquals(report(sidecar, 0), List.of(sums(sidecar, 0)), "told of new interest at once");
    }
    after(250);
  }

  private List<CostAggregatorEffect> tell(CostAggregatorEvent event) {
    return holder.decide(event, TimeUnit.MILLISECONDS.toNanos(nowMillis));
  }

  private List<CostAggregatorEffect> after(long millis) {
    nowMillis += millis;
    return tell(new TimePassed());
  }

  private static List<WorkspaceCost> quartet(double cost) {
    return List.of(new WorkspaceCost("quartet", cost));
  }

  private List<CostAggregatorEffect> report(PeerIdentity sidecar, double cost) {
    CostReport report = new CostReport(quartet(cost), List.of("quartet"));
    return tell(new MessageArrived(sidecar, report));
  }

  private static CostAggregatorEffect sums(PeerIdentity sidecar, double cost) {
    return new Send(sidecar.instance(), new FleetCosts(1, quartet(cost)));
  }

  private List<CostAggregatorEffect> farCosts(PeerIdentity sender, double cost) {
    LinkMessage costs = new DataCentreCosts("plan-model", quartet(cost));
    return tell(new MessageArrived(sender, costs));
  }

  @Test
  public void tellsEachWhatTheOthersReceivedAtItsInterval() {
    assertEquals(report(ONE, 10), List.of(), "not before the interval is over");
    report(TWO, 3);
    assertEquals(after(250), List.of(sums(ONE, 3), sums(TWO, 10)));
    assertEquals(after(250), List.of(), "nothing changed");
    report(ONE, 10);
    report(ONE, 8);
    assertEquals(after(250), List.of(), "repeated and older values are harmless");
  }

  @Test
  public void takesFirstReportOfUnknownIncarnationAsBaseline() {
    PeerIdentity three = SidecarFixture.sidecar("engine-3", "kolkata-a");
    tell(new PeerConnected(three));
    report(three, 700);
    assertEquals(after(250), List.of());
    report(three, 705);
    assertEquals(after(250), List.of(sums(ONE, 5), sums(TWO, 5)));
  }

  @Test
  public void takesChangesOnlyOnTopOfReport() {
    tell(new MessageArrived(ONE, new CostChanges(quartet(5), List.of(), List.of("quartet"))));
    assertEquals(after(250), List.of(sums(TWO, 5)));
    report(TWO, 7);
    assertEquals(after(250), List.of(), "no interest any more");
    tell(new MessageArrived(ONE, new CostChanges(List.of(), List.of("quartet"), List.of())));
    assertEquals(after(250), List.of(sums(ONE, 7)), "told what changed meanwhile");
    tell(new PeerDisconnected(ONE));
    tell(new PeerConnected(ONE));
    tell(new MessageArrived(ONE, new CostChanges(quartet(9), List.of("quartet"), List.of())));
    assertEquals(after(250), List.of(), "changes without a report");
    assertEquals(report(ONE, 9), List.of(sums(ONE, 7)));
    assertEquals(after(250), List.of(sums(TWO, 9)));
  }

  @Test
  public void countsWhatKnownSidecarReceivedDuringCut() {
    tell(new PeerDisconnected(ONE));
    after(1_000);
    tell(new PeerConnected(ONE));
    assertEquals(report(ONE, 40), List.of(sums(ONE, 0)));
    assertEquals(after(250), List.of(sums(TWO, 40)));
  }

  @Test
  public void forgetsProcessThatIsGoneForLong() {
    tell(new PeerDisconnected(ONE));
    after(CostAggregatorPolicy.DEFAULT.retentionMillis());
    tell(new PeerConnected(ONE));
    report(ONE, 40);
    assertEquals(after(250), List.of(), "a baseline again");
  }

  @Test
  public void tellsOneRouterOfEachOtherDataCentreItsOwnSumsOnly() {
    tell(new PeerConnected(FAR));
    tell(new PeerConnected(FAR_TOO));
    farCosts(FAR, 0);
    farCosts(FAR, 1_000);
    report(ONE, 10);
    List<CostAggregatorEffect> effects = new ArrayList<>(after(250));
    effects.removeIf(effect -> ((Send) effect).message() instanceof FleetCosts);
    assertEquals(effects.size(), 1);
    Send sent = (Send) effects.getFirst();
    assertEquals(sent.message(), new DataCentreCosts("plan-model", quartet(10)));
    PeerIdentity told = sent.instance().equals("far-1") ? FAR : FAR_TOO;
    assertEquals(after(250), List.of(), "nothing changed");
    tell(new PeerDisconnected(told));
    assertEquals(after(250).size(), 1, "the other router gets all of them");
  }

  @Test
  public void countsOtherDataCentreOnce() {
    tell(new PeerConnected(FAR));
    farCosts(FAR, 100);
    farCosts(FAR, 130);
    assertEquals(after(250), List.of(sums(ONE, 30), sums(TWO, 30)));
    tell(new PeerDisconnected(FAR));
    tell(new PeerConnected(FAR));
    farCosts(FAR, 150);
    assertEquals(after(250).getFirst(), sums(ONE, 50), "a cut is caught up with");
    tell(new PeerDisconnected(FAR));
    tell(new PeerConnected(FAR_TOO));
    farCosts(FAR_TOO, 150);
    farCosts(FAR_TOO, 160);
    assertEquals(after(250).getFirst(), sums(ONE, 60));
    tell(new PeerConnected(FAR));
    farCosts(FAR, 160);
    assertEquals(after(250), List.of(), "the other router told those costs");
  }
}

package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.PLAIN;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Costs, and what slot allocators of several data centres tell each other of them. */
public class SlotAllocatorCostsTest {

  private static final PeerIdentity PEER = SlotAllocatorFixture.router("r2", "b1");

  /** The cost of a workspace in another data centre counts in this data centre. */
  @Test
  public void countsCostsOfOtherDataCentres() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    RequestId first = allocator.requestPlain("rich", 10_000);
    allocator.requestPlain("poor", 10_000);
    allocator.dispatch(costsReceived("rich", 100));
    allocator.dispatch(costsReceived("rich", 90_000));
    RequestId rich = allocator.requestPlain("rich", 10_000);
    RequestId poor = allocator.requestPlain("poor", 10_000);
    RequestId poorAgain = allocator.requestPlain("poor", 10_000);
    allocator.sendChange(PLAIN, first, SlotStage.COMPLETED, 50);
    assertTrue(allocator.isGranted(poor) && !allocator.isGranted(rich));
    allocator.sendChange(PLAIN, poor, SlotStage.COMPLETED, 50);
    assertTrue(allocator.isGranted(poorAgain) && !allocator.isGranted(rich));
  }

  /** Workspaces that got much in other data centres are ordered by how much, from the start. */
  @Test
  public void countsCostsOfOtherDataCentresInFullFromTheFirstReport() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    RequestId first = allocator.requestPlain("other", 10_000);
    allocator.requestPlain("other", 10_000);
    final RequestId large = allocator.requestPlain("large", 10_000);
    final RequestId medium = allocator.requestPlain("medium", 10_000);
    allocator.dispatch(costsReceived("large", 900_000));
    allocator.dispatch(costsReceived("medium", 300_000));
    allocator.sendChange(PLAIN, first, SlotStage.COMPLETED, 50);
    assertTrue(allocator.isGranted(medium) && !allocator.isGranted(large));
  }

  /**
   * A workspace is rejected in one data centre while one with more service is served in another.
   */
  @Test
  public void rejectionNamesDataCentreThatServesWorkspacesWithMoreService() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    allocator.publishUpstreams("p1", "b-p2");
    allocator.requestPlain("other", 10_000);
    allocator.requestPlain("other", 10_000);
    allocator.requestPlain("other", 10_000);
    allocator.dispatch(costsReceived("large", 90_000));
    allocator.dispatch(
        new SlotAllocatorEvent.MessageReceived(
            PEER.instance(), new AllocatorCosts(PLAIN, 50_000, List.of())));
    assertEquals(allocator.alternativeOf(allocator.requestPlain("small", 50)), "b1");
    assertEquals(allocator.alternativeOf(allocator.requestPlain("large", 50)), "");
  }

  @Test
  public void reportsHighestVirtualServiceThatGotSlotWhileOthersAreRejected() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    allocator.requestPlain("other", 10_000);
    RequestId last = allocator.requestPlain("other", 10_000);
    allocator.advance(300);
    assertEquals(allocator.lastReport().servedBelow(), AllocatorCosts.ALL_SERVED);
    allocator.dispatch(costsReceived("large", 90_000));
    allocator.requestPlain("large", 10_000);
    allocator.sendChange(PLAIN, last, SlotStage.COMPLETED, 50);
    allocator.requestPlain("other", 10_000);
    assertTrue(allocator.isRejected(allocator.requestPlain("other", 60)));
    allocator.advance(300);
    double level = allocator.lastReport().servedBelow();
    assertTrue(level > 50_000 && level <= 90_000, "level " + level);
  }

  /** A link that closes for a moment must not count the same costs twice. */
  @Test
  public void countsCostsOnceWhenAnAllocatorReconnects() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    RequestId first = allocator.requestPlain("other", 10_000);
    allocator.requestPlain("other", 10_000);
    final RequestId more = allocator.requestPlain("more", 10_000);
    final RequestId steady = allocator.requestPlain("steady", 10_000);
    allocator.dispatch(costsReceived("steady", 300_000));
    allocator.dispatch(costsReceived("more", 500_000));
    allocator.dispatch(new SlotAllocatorEvent.RouterDisconnected(PEER));
    allocator.dispatch(new SlotAllocatorEvent.RouterConnected(PEER));
    allocator.dispatch(costsReceived("steady", 300_000));
    allocator.sendChange(PLAIN, first, SlotStage.COMPLETED, 50);
    assertTrue(allocator.isGranted(steady) && !allocator.isGranted(more));
  }

  /**
   * Within one cost window, a workspace with a high earlier cost must get more than half as many
   * slots as a new workspace.
   */
  @Test
  public void earlierCostDelaysWorkspaceForPartOfTheWindowOnly() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    RequestId first = allocator.requestPlain("former", 60_000);
    RequestId second = allocator.requestPlain("former", 60_000);
    allocator.requestPlain("newcomer", 60_000);
    allocator.dispatch(costsReceived("former", 1));
    allocator.dispatch(costsReceived("former", 4_000));
    allocator.sendChange(PLAIN, first, SlotStage.COMPLETED, 50);
    allocator.sendChange(PLAIN, second, SlotStage.COMPLETED, 50);
    Map<String, Integer> served = serveContinuously(allocator, 4_000, "former", "newcomer");
    assertTrue(served.get("former") * 2 > served.get("newcomer"), served.toString());
  }

  /** A router that was short of time loses all links at once; the others select an allocator. */
  @Test
  public void routerThatLostMostLinksGrantsItsShareOnly() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1", "p2");
    List<PeerIdentity> peers = new ArrayList<>();
    for (int index = 2; index <= 8; index++) {
      peers.add(SlotAllocatorFixture.router("r" + index, "a1"));
    }
    peers.forEach(peer -> allocator.dispatch(new SlotAllocatorEvent.RouterConnected(peer)));
    peers.forEach(peer -> allocator.dispatch(new SlotAllocatorEvent.RouterDisconnected(peer)));
    List<RequestId> requests = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      requests.add(allocator.requestPlain("w", 60_000));
    }
    assertEquals(requests.stream().filter(allocator::isGranted).count(), 2, "one of two slots");
    allocator.advance(11_000);
    assertEquals(requests.stream().filter(allocator::isGranted).count(), 4, "they are gone");
  }

  /** The charge of a cancelled request has decayed since its grant; more must not be returned. */
  @Test
  public void cancelledRequestEarnsNoCredit() {
    SlotAllocatorFixture allocator = SlotAllocatorFixture.withShortCostWindow("p1", "p2", "p3");
    allocator.advance(50);
    allocator.requestPlain("small", 60_000);
    final RequestId cancelled = allocator.requestPlain("large", 60_000);
    for (int index = 0; index < 3; index++) {
      allocator.requestPlain("large", 60_000);
    }
    allocator.advance(700);
    allocator.requestPlain("small", 60_000);
    allocator.advance(700);
    RequestId small = allocator.requestPlain("small", 60_000);
    RequestId large = allocator.requestPlain("large", 60_000);
    allocator.sendChange(PLAIN, cancelled, SlotStage.CANCELLED, 0);
    assertTrue(allocator.isGranted(small) && !allocator.isGranted(large));
  }

  /**
   * Keeps requests of every workspace waiting; each request holds a slot for 50 ms and costs 50.
   */
  private static Map<String, Integer> serveContinuously(
      SlotAllocatorFixture allocator, long millis, String... workspaces) {
    Map<RequestId, String> open = new LinkedHashMap<>();
    Map<String, Integer> served = new TreeMap<>();
    for (long passed = 0; passed < millis; passed += 50) {
      for (String workspace : workspaces) {
        served.putIfAbsent(workspace, 0);
        for (long count = open.values().stream().filter(workspace::equals).count();
            count < 4;
            count++) {
          open.put(allocator.requestPlain(workspace, 60_000), workspace);
        }
      }
      allocator.advance(50);
      for (RequestId request : List.copyOf(open.keySet())) {
        if (allocator.isGranted(request)) {
          allocator.sendChange(PLAIN, request, SlotStage.COMPLETED, 50);
          served.merge(open.remove(request), 1, Integer::sum);
        }
      }
    }
    return served;
  }

  /** Returns an allocator with one plain upstream and a link to one in another data centre. */
  private static SlotAllocatorFixture connectedTo(PeerIdentity peer) {
    SlotAllocatorFixture allocator = SlotAllocatorFixture.withShortCostWindow("p1");
    allocator.dispatch(new SlotAllocatorEvent.RouterConnected(peer));
    return allocator;
  }

  private static SlotAllocatorEvent costsReceived(String workspace, double cost) {
    return new SlotAllocatorEvent.MessageReceived(
        "r2",
        new AllocatorCosts(
            PLAIN, AllocatorCosts.ALL_SERVED, List.of(new WorkspaceCost(workspace, cost))));
  }
}

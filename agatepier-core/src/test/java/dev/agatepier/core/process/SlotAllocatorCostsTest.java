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
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
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

  @DataProvider
  public static Object[][] newcomers() {
    return new Object[][] {{1, 4_000}, {1, 6_000}, {3, 6_000}, {10, 6_000}};
  }

  /**
   * A workspace that got the whole capacity until now must get at least half as much as each
   * newcomer: with one in a cost window, with more of them in the six seconds over which operators
   * compare. The upstream serves 40 requests a second throughout.
   */
  @Test(dataProvider = "newcomers")
  public void earlierCostDelaysWorkspaceForPartOfTheWindowOnly(int count, long millis) {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    allocator.advance(50);
    List<String> workspaces = new ArrayList<>(List.of("former"));
    IntStream.range(0, count).forEach(index -> workspaces.add("newcomer" + index));
    Map<RequestId, String> open = new LinkedHashMap<>();
    keepWaiting(allocator, open, workspaces);
    allocator.dispatch(costsReceived("former", 1));
    allocator.dispatch(costsReceived("former", 4_000));
    Map<String, Integer> served = serveContinuously(allocator, millis, open, workspaces);
    int former = served.remove("former");
    int most = served.values().stream().max(Integer::compare).orElseThrow();
    assertTrue(former * 2 >= most, former + " of " + served);
    assertTrue(former <= most, former + " of " + served);
  }

  /** The clock starts anywhere; costs that precede the first tick must not lose weight by it. */
  @Test
  public void firstTickDecaysNothing() {
    SlotAllocatorFixture allocator = connectedTo(PEER);
    Map<RequestId, String> open = new LinkedHashMap<>();
    List<String> workspaces = List.of("former", "newcomer");
    keepWaiting(allocator, open, workspaces);
    allocator.dispatch(costsReceived("former", 4_000));
    Map<String, Integer> served = serveContinuously(allocator, 500, open, workspaces);
    assertTrue(served.get("former") <= 2, "more than the slots that it held: " + served);
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
   * Serves workspaces that always have requests waiting; each request holds a slot for 50 ms and
   * costs 50. A slot that is released is granted again at once, but serves one request at a time,
   * so that the capacity does not depend on whose requests are served.
   */
  private static Map<String, Integer> serveContinuously(
      SlotAllocatorFixture allocator,
      long millis,
      Map<RequestId, String> open,
      List<String> workspaces) {
    Map<String, Integer> served = new TreeMap<>();
    workspaces.forEach(workspace -> served.put(workspace, 0));
    for (long passed = 0; passed < millis; passed += 50) {
      allocator.advance(50);
      List<RequestId> ended = open.keySet().stream().filter(allocator::isGranted).toList();
      for (RequestId request : ended) {
        allocator.sendChange(PLAIN, request, SlotStage.COMPLETED, 50);
        served.merge(open.remove(request), 1, Integer::sum);
      }
      keepWaiting(allocator, open, workspaces);
    }
    return served;
  }

  private static void keepWaiting(
      SlotAllocatorFixture allocator, Map<RequestId, String> open, List<String> workspaces) {
    for (String workspace : workspaces) {
      for (long count = open.values().stream().filter(workspace::equals).count();
          count < 4;
          count++) {
        open.put(allocator.requestPlain(workspace, 60_000), workspace);
      }
    }
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

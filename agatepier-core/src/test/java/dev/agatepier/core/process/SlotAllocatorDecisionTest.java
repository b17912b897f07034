package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.MODEL;
import static dev.agatepier.core.process.SlotAllocatorFixture.PLAIN;
import static dev.agatepier.core.process.SlotAllocatorFixture.ROUTER;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.Test;

public class SlotAllocatorDecisionTest {

  @Test
  public void grantsPlainSlotsAndHoldsTheRestBack() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1", "p2");
    List<RequestId> requests = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      requests.add(keeper.plain("w", 500));
    }
    assertEquals(requests.stream().filter(keeper::granted).count(), 4, "two slots each");
    keeper.change(PLAIN, requests.get(1), SlotStage.COMPLETED, 40);
    assertEquals(keeper.upstreamOf(requests.get(4)), keeper.upstreamOf(requests.get(1)));
  }

  @Test
  public void turnedDownAndDeclinedSlotsAreFreeAgain() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    final RequestId first = keeper.plain("w", 500);
    final RequestId second = keeper.plain("w", 500);
    final RequestId third = keeper.plain("w", 500);
    final RequestId fourth = keeper.plain("w", 500);
    keeper.change(PLAIN, first, SlotStage.DECLINED, 0);
    keeper.change(PLAIN, second, SlotStage.REJECTED, 0);
    assertTrue(keeper.granted(third) && keeper.granted(fourth));
  }

  @Test
  public void sendsPrefixesWhereTheyAreKept() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1", "m2");
    RequestId first = keeper.model("w", 1_000, "shared", 4_000);
    RequestId other = keeper.model("w", 1_000, "else", 4_000);
    assertNotEquals(keeper.upstreamOf(other), keeper.upstreamOf(first), "the other one is idle");
    end(keeper, first);
    end(keeper, other);
    RequestId again = keeper.model("w", 1_000, "shared", 4_000);
    RequestId otherAgain = keeper.model("w", 1_000, "else", 4_000);
    assertEquals(keeper.upstreamOf(again), keeper.upstreamOf(first));
    assertEquals(keeper.upstreamOf(otherAgain), keeper.upstreamOf(other));
  }

  @Test
  public void queuesLittleUnreadPromptAtAnEngine() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1");
    RequestId first = keeper.model("w", 2_000, "a", 3_000);
    RequestId second = keeper.model("w", 2_000, "b", 3_000);
    assertTrue(keeper.granted(first));
    assertFalse(keeper.granted(second), "the engine still reads");
    keeper.pass(150);
    keeper.change(MODEL, first, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(keeper.granted(second), "the first is read");
  }

  @Test
  public void keepsRunningRequestsWithinTheMemory() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1");
    int granted = 0;
    for (int index = 0; index < 6; index++) {
      RequestId request = keeper.model("w", 60_000, "part-" + index, 10_000);
      keeper.pass(1_000);
      if (keeper.granted(request)) {
        granted++;
        keeper.change(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
      }
    }
    assertEquals(granted, 4, "of 20,100 tokens each in 92,000");
  }

  @Test
  public void servesWorkspacesByWhatTheyHadSoFar() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    List<RequestId> hot = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      hot.add(keeper.plain("hot", 10_000));
    }
    RequestId small = keeper.plain("small", 10_000);
    keeper.change(PLAIN, hot.get(0), SlotStage.COMPLETED, 50);
    keeper.change(PLAIN, hot.get(1), SlotStage.COMPLETED, 50);
    assertTrue(keeper.granted(small), "one slot at the most goes to others before");
  }

  /** A workspace's requests that can no longer be in time must not keep the others back. */
  @Test
  public void requestsPastHopeBlockNobody() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1");
    final RequestId running = keeper.model("hot", 10_000, "a", 3_000);
    for (int index = 0; index < 10; index++) {
      keeper.model("hot", 260, "b" + index, 3_000);
    }
    final RequestId feasible = keeper.model("hot", 2_000, "c", 3_000);
    keeper.now += 140 * 1_000_000;
    keeper.change(MODEL, running, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(keeper.granted(feasible));
  }

  @Test
  public void refusesAtOnceWhatCannotBeInTime() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1");
    keeper.model("w", 10_000, "a", 3_000);
    for (int index = 0; index < 5; index++) {
      keeper.model("w", 900, "b" + index, 3_000);
    }
    RequestId hopeless = keeper.model("w", 900, "c", 3_000);
    assertTrue(keeper.refused(hopeless));
  }

  @Test
  public void refusesWhatHasBecomeLate() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    keeper.plain("w", 500);
    keeper.plain("w", 500);
    RequestId waits = keeper.plain("v", 500);
    keeper.pass(400);
    assertFalse(keeper.refused(waits));
    keeper.pass(100);
    assertTrue(keeper.refused(waits));
  }

  @Test
  public void grantsNothingAtLeavingUpstreams() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1x", "p2");
    for (int index = 0; index < 3; index++) {
      assertNotEquals(keeper.upstreamOf(keeper.plain("w", 500)), "p1");
    }
  }

  @Test
  public void leavesFailingUpstreamsAloneForSomeTime() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1", "p2");
    for (int round = 0; round < 12; round++) {
      RequestId request = keeper.plain("w", 500);
      boolean bad = keeper.upstreamOf(request).equals("p1");
      keeper.change(PLAIN, request, bad ? SlotStage.FAILED : SlotStage.COMPLETED, 30);
    }
    assertEquals(keeper.upstreamOf(keeper.plain("w", 500)), "p2");
  }

  @Test
  public void movesRequestsAwayFromSilentUpstreams() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("m1", "m2");
    RequestId stuck = keeper.model("w", 5_000, "a", 1_000);
    List<SlotMessage> news = keeper.pass(SlotAllocatorPolicy.DEFAULT.stallMillis() + 100);
    assertEquals(news, List.of(new SlotRecalled(MODEL, stuck, keeper.upstreamOf(stuck))));
    assertFalse(keeper.judged.getLast().usable());
    for (int index = 0; index < 3; index++) {
      RequestId next = keeper.model("w", 5_000, "b" + index, 1_000);
      assertNotEquals(keeper.upstreamOf(next), keeper.upstreamOf(stuck));
      end(keeper, next);
    }
    keeper.change(MODEL, stuck, SlotStage.RESPONSE_STARTED, 0);
    keeper.pass(25);
    assertTrue(keeper.judged.getLast().usable(), "a sign of work");
  }

  @Test
  public void forgetsRoutersThatAreGone() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    keeper.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "a1")));
    List<WaitingCall> calls = new ArrayList<>();
    for (int number = 1; number <= 3; number++) {
      RequestId request = new RequestId("r2", 1, number);
      calls.add(new WaitingCall(request, "w", "", 5_000, 5_000, false, Optional.empty()));
    }
    keeper.tell(
        new SlotAllocatorEvent.MessageArrived(
            "r2", new SlotsWanted(PLAIN, false, calls, List.of())));
    RequestId own = keeper.plain("v", 5_000);
    assertFalse(keeper.granted(own));
    keeper.tell(new SlotAllocatorEvent.RouterDisconnected(SlotAllocatorFixture.router("r2", "a1")));
    assertTrue(keeper.granted(own));
  }

  @Test
  public void takesOverWhatRunsAlready() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    List<HeldSlot> held = new ArrayList<>();
    for (int number = 901; number <= 902; number++) {
      RequestId request = new RequestId(ROUTER, 1, number);
      WaitingCall call = new WaitingCall(request, "w", "", 5_000, 5_000, false, Optional.empty());
      held.add(new HeldSlot(call, "p1", true));
    }
    keeper.tell(SlotAllocatorFixture.message(new SlotsWanted(PLAIN, true, List.of(), held)));
    RequestId waits = keeper.plain("w", 5_000);
    assertFalse(keeper.granted(waits), "both slots are taken");
  }

  @Test
  public void looksAfterDataCentresWithoutRouters() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    assertTrue(keeper.granted(keeper.plain("w", 500)));
    keeper.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    assertTrue(keeper.granted(keeper.plain("w", 500)), "its own data centre stays its own");
  }

  @Test
  public void looksAfterDataCentresWhoseRoutersAreLeaving() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    keeper.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    keeper.tell(new SlotAllocatorEvent.RouterLeaving(ROUTER, true));
    assertTrue(keeper.granted(keeper.plain("w", 500)), "what waits here is not dropped");

    SlotAllocatorFixture other = new SlotAllocatorFixture("b-p1");
    other.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    assertFalse(other.granted(other.plain("w", 500)), "the other data centre has a keeper");
    other.tell(new SlotAllocatorEvent.RouterLeaving("r2", true));
    assertTrue(other.granted(other.plain("w", 500)));
    other.tell(new SlotAllocatorEvent.RouterLeaving("r2", false));
    assertFalse(other.granted(other.plain("w", 500)));
  }

  @Test
  public void keepsWhatItIsToldBeforeItKnowsTheTable() {
    SlotAllocatorFixture keeper = SlotAllocatorFixture.started();
    RequestId early = keeper.plain("w", 5_000);
    keeper.tell(new SlotAllocatorEvent.TableActivated(SlotAllocatorFixture.table()));
    assertFalse(keeper.granted(early) || keeper.refused(early), "no upstream is known yet");
    keeper.list("p1");
    assertTrue(keeper.granted(early));
  }

  @Test
  public void refusesWhatWaitsForUnknownService() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    RequestId request = new RequestId(ROUTER, 1, 900);
    WaitingCall call = new WaitingCall(request, "w", "", 500, 500, true, Optional.empty());
    keeper.tell(
        SlotAllocatorFixture.message(new SlotsWanted("gone", false, List.of(call), List.of())));
    assertTrue(keeper.refused(request));
  }

  /** What a workspace had in another data centre counts against it here. */
  @Test
  public void countsCostsOfOtherDataCentres() {
    SlotAllocatorFixture keeper = new SlotAllocatorFixture("p1");
    keeper.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    RequestId first = keeper.plain("rich", 10_000);
    keeper.plain("poor", 10_000);
    keeper.tell(caused("rich", 100));
    keeper.tell(caused("rich", 90_000));
    RequestId rich = keeper.plain("rich", 10_000);
    RequestId poor = keeper.plain("poor", 10_000);
    RequestId poorAgain = keeper.plain("poor", 10_000);
    keeper.change(PLAIN, first, SlotStage.COMPLETED, 50);
    assertTrue(keeper.granted(poor) && !keeper.granted(rich));
    keeper.change(PLAIN, poor, SlotStage.COMPLETED, 50);
    assertTrue(keeper.granted(poorAgain) && !keeper.granted(rich));
  }

  /** A workspace that had much at first gets over half of what a newcomer gets within a window. */
  @Test
  public void formerCostHoldsBackForPartOfTheWindowOnly() {
    SlotAllocatorFixture keeper = SlotAllocatorFixture.forgetting("p1");
    keeper.tell(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    RequestId first = keeper.plain("former", 60_000);
    RequestId second = keeper.plain("former", 60_000);
    keeper.plain("newcomer", 60_000);
    keeper.tell(caused("former", 1));
    keeper.tell(caused("former", 4_000));
    keeper.change(PLAIN, first, SlotStage.COMPLETED, 50);
    keeper.change(PLAIN, second, SlotStage.COMPLETED, 50);
    Map<String, Integer> served = serveInTurn(keeper, 4_000, "former", "newcomer");
    assertTrue(served.get("former") * 2 > served.get("newcomer"), served.toString());
  }

  /** Has every workspace want slots all the time; each takes 50 ms and costs as much. */
  private static Map<String, Integer> serveInTurn(
      SlotAllocatorFixture keeper, long millis, String... workspaces) {
    Map<RequestId, String> open = new LinkedHashMap<>();
    Map<String, Integer> served = new TreeMap<>();
    for (long passed = 0; passed < millis; passed += 50) {
      for (String workspace : workspaces) {
        served.putIfAbsent(workspace, 0);
        for (long count = open.values().stream().filter(workspace::equals).count();
            count < 4;
            count++) {
          open.put(keeper.plain(workspace, 60_000), workspace);
        }
      }
      keeper.pass(50);
      for (RequestId request : List.copyOf(open.keySet())) {
        if (keeper.granted(request)) {
          keeper.change(PLAIN, request, SlotStage.COMPLETED, 50);
          served.merge(open.remove(request), 1, Integer::sum);
        }
      }
    }
    return served;
  }

  private static SlotAllocatorEvent caused(String workspace, double cost) {
    return new SlotAllocatorEvent.MessageArrived(
        "r2", new AllocatorCosts(PLAIN, List.of(new WorkspaceCost(workspace, cost))));
  }

  private static void end(SlotAllocatorFixture keeper, RequestId request) {
    keeper.pass(300);
    keeper.change(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
    keeper.change(MODEL, request, SlotStage.COMPLETED, 100);
  }
}

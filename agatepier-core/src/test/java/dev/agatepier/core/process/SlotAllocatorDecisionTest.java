package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.MODEL;
import static dev.agatepier.core.process.SlotAllocatorFixture.PLAIN;
import static dev.agatepier.core.process.SlotAllocatorFixture.ROUTER;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class SlotAllocatorDecisionTest {

  @Test
  public void grantsPlainSlotsUpToTheLimit() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1", "p2");
    List<RequestId> requests = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      requests.add(allocator.requestPlain("w", 500));
    }
    assertEquals(requests.stream().filter(allocator::isGranted).count(), 4, "two slots each");
    allocator.sendChange(PLAIN, requests.get(1), SlotStage.COMPLETED, 40);
    assertEquals(allocator.upstreamOf(requests.get(4)), allocator.upstreamOf(requests.get(1)));
  }

  @Test
  public void rejectedAndDeclinedSlotsAreFreeAgain() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    final RequestId first = allocator.requestPlain("w", 500);
    final RequestId second = allocator.requestPlain("w", 500);
    final RequestId third = allocator.requestPlain("w", 500);
    final RequestId fourth = allocator.requestPlain("w", 500);
    allocator.sendChange(PLAIN, first, SlotStage.DECLINED, 0);
    allocator.sendChange(PLAIN, second, SlotStage.REJECTED, 0);
    assertTrue(allocator.isGranted(third) && allocator.isGranted(fourth));
  }

  @Test
  public void prefersUpstreamsWithCachedPrefix() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1", "m2");
    RequestId first = allocator.requestModel("w", 1_000, "shared", 4_000);
    RequestId other = allocator.requestModel("w", 1_000, "else", 4_000);
    assertNotEquals(
        allocator.upstreamOf(other), allocator.upstreamOf(first), "the other upstream is idle");
    end(allocator, first);
    end(allocator, other);
    RequestId again = allocator.requestModel("w", 1_000, "shared", 4_000);
    RequestId otherAgain = allocator.requestModel("w", 1_000, "else", 4_000);
    assertEquals(allocator.upstreamOf(again), allocator.upstreamOf(first));
    assertEquals(allocator.upstreamOf(otherAgain), allocator.upstreamOf(other));
  }

  @Test
  public void limitsPendingPrefillOfAnEngine() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    RequestId first = allocator.requestModel("w", 2_000, "a", 3_000);
    RequestId second = allocator.requestModel("w", 2_000, "b", 3_000);
    assertTrue(allocator.isGranted(first));
    assertFalse(allocator.isGranted(second), "the engine is still in prefill");
    allocator.advance(150);
    allocator.sendChange(MODEL, first, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(allocator.isGranted(second), "the first prefill has ended");
  }

  @Test
  public void keepsRunningRequestsWithinTheMemory() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    int granted = 0;
    for (int index = 0; index < 6; index++) {
      RequestId request = allocator.requestModel("w", 60_000, "part-" + index, 10_000);
      allocator.advance(1_000);
      if (allocator.isGranted(request)) {
        granted++;
        allocator.sendChange(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
      }
    }
    assertEquals(granted, 4, "of 20,100 tokens each in 92,000");
  }

  /** Small requests fit into the memory that each response frees, large ones never do. */
  @Test
  public void smallRequestsDoNotTakeTheMemoryThatUnderservedRequestWaitsFor() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    Deque<RequestId> running = new ArrayDeque<>();
    for (int index = 0; index < 4; index++) {
      RequestId request = allocator.requestModel("w", 60_000, "running-" + index, 10_000);
      allocator.advance(1_000);
      allocator.sendChange(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
      running.add(request);
    }
    RequestId large = allocator.requestUnderserved("w", 60_000, 60_000);
    for (int index = 0; index < 8 && !allocator.isGranted(large); index++) {
      RequestId small = allocator.requestModel("w", 60_000, "small-" + index, 10_000);
      allocator.sendChange(MODEL, running.remove(), SlotStage.COMPLETED, 100);
      allocator.advance(1_000);
      if (allocator.isGranted(small)) {
        allocator.sendChange(MODEL, small, SlotStage.RESPONSE_STARTED, 0);
        running.add(small);
      }
    }
    assertTrue(allocator.isGranted(large));
  }

  @Test
  public void reportsDelayOftenOnlyWhileItChangesMuch() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    allocator.advance(2_000);
    allocator.loadReports = 0;
    for (int index = 0; index < 40; index++) {
      allocator.advance(25);
    }
    assertTrue(allocator.loadReports <= 2, allocator.loadReports + " reports of equal delays");
    allocator.loadReports = 0;
    for (int index = 0; index < 40; index++) {
      allocator.requestModel("w", 60_000, "part-" + index, 20_000);
      allocator.advance(25);
    }
    assertTrue(
        allocator.loadReports >= 2 && allocator.loadReports <= 6,
        allocator.loadReports + " reports of growing delays in a second, of two services");
  }

  @Test
  public void refusesOverdueRequestsAtNextTick() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    allocator.requestModel("w", 20_000, "a", 20_000);
    RequestId waiting = allocator.requestModel("w", 400, "b", 3_000);
    allocator.advance(200);
    assertFalse(allocator.isRejected(waiting));
    allocator.advance(199);
    assertTrue(allocator.isRejected(waiting));
  }

  @Test
  public void servesWorkspacesByTheirCostSoFar() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    List<RequestId> hot = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      hot.add(allocator.requestPlain("hot", 10_000));
    }
    RequestId small = allocator.requestPlain("small", 10_000);
    allocator.sendChange(PLAIN, hot.get(0), SlotStage.COMPLETED, 50);
    allocator.sendChange(PLAIN, hot.get(1), SlotStage.COMPLETED, 50);
    assertTrue(allocator.isGranted(small), "at most one slot is granted to others before");
  }

  /**
   * Requests that can no longer meet their objective must not delay other requests of the
   * workspace.
   */
  @Test
  public void overdueRequestsDoNotBlockOthers() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    final RequestId running = allocator.requestModel("hot", 10_000, "a", 3_000);
    for (int index = 0; index < 10; index++) {
      allocator.requestModel("hot", 260, "b" + index, 3_000);
    }
    final RequestId feasible = allocator.requestModel("hot", 2_000, "c", 3_000);
    allocator.now += 140 * 1_000_000;
    allocator.sendChange(MODEL, running, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(allocator.isGranted(feasible));
  }

  @Test
  public void rejectsAtOnceRequestsThatCannotMeetTheObjective() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    allocator.requestModel("w", 10_000, "a", 3_000);
    for (int index = 0; index < 5; index++) {
      allocator.requestModel("w", 900, "b" + index, 3_000);
    }
    RequestId overdue = allocator.requestModel("w", 900, "c", 3_000);
    assertTrue(allocator.isRejected(overdue));
  }

  @Test
  public void ownWorkOfUnderservedSizesDoesNotCountAgainstTheObjective() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    final RequestId running = allocator.requestModel("w", 10_000, "a", 3_000);
    final RequestId next = allocator.requestModel("w", 900, "b", 3_000);
    RequestId large = allocator.requestUnderserved("w", 900, 60_000);
    allocator.advance(140);
    allocator.sendChange(MODEL, running, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(allocator.isGranted(next));
    allocator.advance(140);
    allocator.sendChange(MODEL, next, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(allocator.isGranted(large), "its prefill alone takes longer than its objective");
  }

  @Test
  public void requestsOfUnderservedSizesAreRejectedWhenTheyHaveWaitedTooLong() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1");
    allocator.requestModel("w", 20_000, "a", 20_000);
    RequestId waiting = allocator.requestUnderserved("w", 400, 3_000);
    allocator.advance(399);
    assertFalse(allocator.isRejected(waiting));
    allocator.advance(2);
    assertTrue(allocator.isRejected(waiting));
  }

  @Test
  public void rejectsWaitingRequestsThatBecomeOverdue() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.requestPlain("w", 500);
    allocator.requestPlain("w", 500);
    RequestId waiting = allocator.requestPlain("v", 500);
    allocator.advance(400);
    assertFalse(allocator.isRejected(waiting));
    allocator.advance(100);
    assertTrue(allocator.isRejected(waiting));
  }

  @Test
  public void grantsNothingAtLeavingUpstreams() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1x", "p2");
    for (int index = 0; index < 3; index++) {
      assertNotEquals(allocator.upstreamOf(allocator.requestPlain("w", 500)), "p1");
    }
  }

  @Test
  public void avoidsFailingUpstreamsForSomeTime() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1", "p2");
    for (int round = 0; round < 12; round++) {
      RequestId request = allocator.requestPlain("w", 500);
      boolean bad = allocator.upstreamOf(request).equals("p1");
      allocator.sendChange(PLAIN, request, bad ? SlotStage.FAILED : SlotStage.COMPLETED, 30);
    }
    assertEquals(allocator.upstreamOf(allocator.requestPlain("w", 500)), "p2");
  }

  @Test
  public void recallsRequestsFromStalledUpstreams() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1", "m2");
    RequestId stuck = allocator.requestModel("w", 5_000, "a", 1_000);
    List<SlotMessage> messages = allocator.advance(SlotAllocatorPolicy.DEFAULT.stallMillis() + 100);
    assertEquals(messages, List.of(new SlotRecalled(MODEL, stuck, allocator.upstreamOf(stuck))));
    assertFalse(allocator.usabilityChanges.getLast().usable());
    for (int index = 0; index < 3; index++) {
      RequestId next = allocator.requestModel("w", 5_000, "b" + index, 1_000);
      assertNotEquals(allocator.upstreamOf(next), allocator.upstreamOf(stuck));
      end(allocator, next);
    }
    allocator.sendChange(MODEL, stuck, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(25);
    assertTrue(allocator.usabilityChanges.getLast().usable(), "the upstream made progress");
  }

  /** The prefill of a large prompt takes longer than an upstream may be without progress. */
  @Test
  public void prefillOfLargePromptIsNoStall() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("m1", "m2");
    allocator.requestUnderserved("w", 5_000, 60_000);
    long stallMillis = SlotAllocatorPolicy.DEFAULT.stallMillis();
    assertEquals(allocator.advance(stallMillis + 100), List.of());
    assertEquals(allocator.usabilityChanges, List.of());
    allocator.advance(2 * stallMillis);
    assertFalse(allocator.usabilityChanges.getLast().usable());
  }

  @Test
  public void removesRequestsOfDisconnectedRouters() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "a1")));
    List<WaitingCall> calls = new ArrayList<>();
    for (int number = 1; number <= 3; number++) {
      RequestId request = new RequestId("r2", 1, number);
      calls.add(new WaitingCall(request, "w", "", 5_000, 5_000, false, false, Optional.empty()));
    }
    allocator.dispatch(
        new SlotAllocatorEvent.MessageReceived(
            "r2", new SlotsWanted(PLAIN, false, calls, List.of())));
    RequestId own = allocator.requestPlain("v", 5_000);
    assertFalse(allocator.isGranted(own));
    allocator.dispatch(
        new SlotAllocatorEvent.RouterDisconnected(SlotAllocatorFixture.router("r2", "a1")));
    assertTrue(allocator.isGranted(own));
  }

  @Test
  public void acceptsSlotsThatAreAlreadyHeld() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    List<HeldSlot> held = new ArrayList<>();
    for (int number = 901; number <= 902; number++) {
      RequestId request = new RequestId(ROUTER, 1, number);
      WaitingCall call =
          new WaitingCall(request, "w", "", 5_000, 5_000, false, false, Optional.empty());
      held.add(new HeldSlot(call, "p1", true));
    }
    allocator.dispatch(SlotAllocatorFixture.message(new SlotsWanted(PLAIN, true, List.of(), held)));
    RequestId waiting = allocator.requestPlain("w", 5_000);
    assertFalse(allocator.isGranted(waiting), "both slots are taken");
  }

  @Test
  public void managesDataCentresWithoutRouters() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    assertTrue(allocator.isGranted(allocator.requestPlain("w", 500)));
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    assertTrue(
        allocator.isGranted(allocator.requestPlain("w", 500)),
        "it still manages its own data centre");
  }

  @Test
  public void managesDataCentresWhoseRoutersAreLeaving() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    allocator.dispatch(new SlotAllocatorEvent.RouterLeaving(ROUTER, true));
    assertTrue(
        allocator.isGranted(allocator.requestPlain("w", 500)), "waiting requests are not dropped");

    SlotAllocatorFixture other = new SlotAllocatorFixture("b-p1");
    other.dispatch(new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    assertFalse(
        other.isGranted(other.requestPlain("w", 500)), "the other data centre has an allocator");
    other.dispatch(new SlotAllocatorEvent.RouterLeaving("r2", true));
    assertTrue(other.isGranted(other.requestPlain("w", 500)));
    other.dispatch(new SlotAllocatorEvent.RouterLeaving("r2", false));
    assertFalse(other.isGranted(other.requestPlain("w", 500)));
  }

  @Test
  public void keepsRequestsReceivedBeforeTheTable() {
    SlotAllocatorFixture allocator = SlotAllocatorFixture.withoutTable();
    RequestId early = allocator.requestPlain("w", 5_000);
    allocator.dispatch(new SlotAllocatorEvent.TableActivated(SlotAllocatorFixture.table()));
    assertFalse(
        allocator.isGranted(early) || allocator.isRejected(early), "no upstream is listed yet");
    allocator.publishUpstreams("p1");
    assertTrue(allocator.isGranted(early));
  }

  @Test
  public void rejectsRequestsForUnknownService() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    RequestId request = new RequestId(ROUTER, 1, 900);
    WaitingCall call = new WaitingCall(request, "w", "", 500, 500, true, false, Optional.empty());
    allocator.dispatch(
        SlotAllocatorFixture.message(new SlotsWanted("unknown", false, List.of(call), List.of())));
    assertTrue(allocator.isRejected(request));
  }

  private static void end(SlotAllocatorFixture allocator, RequestId request) {
    allocator.advance(300);
    allocator.sendChange(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
    allocator.sendChange(MODEL, request, SlotStage.COMPLETED, 100);
  }
}

package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.SERVICE;
import static dev.agatepier.core.process.DirectRouterFixture.STREAM;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE_WITH_ATTEMPTS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.process.RouterEffect.CancelAttempt;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.InstanceList;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DirectRouterTest {

  private DirectRouterFixture router;

  @BeforeMethod
  public void createRouter() {
    router = new DirectRouterFixture();
  }

  @Test
  public void runsGrantedCallsAndTellsTheKeeper() {
    RequestId request = router.run(UNSAFE, "u1");
    assertEquals(router.runs(request).getFirst().upstream().name(), "u1");
    router.began(request, 200);
    router.event(request, -1);
    router.ended(request);
    assertEquals(router.answer(request), "200 -1;whole");
    assertEquals(router.stages(request), List.of(SlotStage.RESPONSE_STARTED, SlotStage.COMPLETED));
  }

  @DataProvider
  public Object[][] unsafePlans() {
    return new Object[][] {{UNSAFE}, {UNSAFE_WITH_ATTEMPTS}};
  }

  @Test(dataProvider = "unsafePlans")
  public void failsUnsafeCallOnceItMayHaveRun(CallPlan plan) {
    RequestId request = router.run(plan, "u1");
    router.failed(request, Reason.UPSTREAM_DIED);
    assertEquals(router.answer(request), "unknown upstream-died");
    assertEquals(router.runs(request).size(), 1);
  }

  @Test
  public void sendsUnsafeCallAgainAfterProof() {
    RequestId request = router.run(UNSAFE, "u1");
    router.notRun(request, Reason.UPSTREAM_BUSY);
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 2);
    assertEquals(router.stages(request), List.of(SlotStage.REJECTED));
  }

  @Test
  public void saysNotRunWhenEveryAttemptWasTurnedDown() {
    RequestId request = router.run(UNSAFE, "u1");
    router.notRun(request, Reason.UPSTREAM_BUSY);
    router.pass(10_000);
    assertEquals(router.answer(request), "not-run deadline");
  }

  @Test
  public void triesSafeCallElsewhereAfterFailureAndErrorStatus() {
    RequestId request = router.run(SAFE, "u1");
    router.began(request, 500);
    assertEquals(router.answer(request), "", "the failure is not passed on yet");
    router.grant(request, "u2");
    router.began(request, 500);
    router.ended(request);
    assertEquals(router.answer(request), "500 whole", "two upstreams are the most");
    assertEquals(router.stages(request), List.of(SlotStage.FAILED, SlotStage.FAILED));
  }

  @Test
  public void resumesBrokenStreamBehindItsLastEvent() {
    RequestId request = router.run(RESUMABLE, "u1");
    router.began(request, 200);
    router.event(request, 1);
    router.event(request, 2);
    router.failed(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    assertEquals(router.runs(request).getLast().resumeAfter(), OptionalLong.of(2));
    router.began(request, 200);
    router.event(request, 2);
    router.event(request, 3);
    router.ended(request);
    assertEquals(router.answer(request), "200 1;2;3;whole");
  }

  @Test
  public void cutsStreamThatCannotResume() {
    RequestId request = router.run(STREAM, "u1");
    router.began(request, 200);
    router.event(request, 1);
    router.failed(request, Reason.UPSTREAM_DIED);
    assertEquals(router.answer(request), "200 1;unknown upstream-died");
  }

  @Test
  public void goesOnWhereTheCallerStopped() {
    RequestId request = router.call(RESUMABLE, OptionalLong.of(7));
    router.grant(request, "u1");
    assertEquals(router.runs(request).getFirst().resumeAfter(), OptionalLong.of(7));
  }

  @Test
  public void stopsTheUpstreamWhenTheCallerLeaves() {
    RequestId request = router.run(STREAM, "u1");
    List<RouterEffect> news = router.tell(new RouterEvent.CallerDisconnected(request));
    assertTrue(news.contains(new CancelAttempt(router.attempt(request))));
    router.failed(request, Reason.WITHDRAWN);
    assertEquals(router.answer(request), "unknown caller-gone");
    assertEquals(router.stages(request), List.of(SlotStage.CANCELLED));
  }

  @Test
  public void withdrawsTheWishWhenTheCallerLeavesEarlier() {
    RequestId request = router.call(STREAM);
    router.tell(new RouterEvent.CallerDisconnected(request));
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN));
    router.grant(request, "u1");
    assertEquals(
        router.stages(request), List.of(SlotStage.WITHDRAWN, SlotStage.DECLINED), "too late");
  }

  @Test
  public void endsCallsAtTheTimeOfTheirRoute() {
    RequestId waiting = router.call(UNSAFE);
    RequestId running = router.run(UNSAFE, "u1");
    router.pass(10_001);
    assertEquals(router.answer(waiting), "not-run deadline");
    router.failed(running, Reason.WITHDRAWN);
    assertEquals(router.answer(running), "unknown deadline");
  }

  @Test
  public void declinesSlotsOfUpstreamsThatAreAboutToLeave() {
    RequestId request = router.call(UNSAFE);
    router.tell(
        new RouterEvent.InstancesActivated(
            new InstanceList(
                2,
                List.of(),
                List.of(DirectRouterFixture.leaving("u1"), DirectRouterFixture.upstream("u2")))));
    router.grant(request, "u1");
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    assertEquals(router.runs(request), List.of());
  }

  @Test
  public void declinesSlotsOfUpstreamsThatAreGone() {
    RequestId request = router.call(UNSAFE);
    router.tell(
        new RouterEvent.InstancesActivated(
            new InstanceList(2, List.of(), List.of(DirectRouterFixture.upstream("u2")))));
    router.grant(request, "u1");
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 1);
  }

  @Test
  public void refusalIsProvenAndSaysWhenToComeBack() {
    RequestId request = router.call(UNSAFE);
    List<RouterEffect> news =
        router.tell(
            new RouterEvent.AllocatorMessageReceived("r1", new SlotRefused(SERVICE, request, 700)));
    assertEquals(router.answer(request), "not-run overloaded");
    assertTrue(
        news.stream()
            .anyMatch(
                effect ->
                    effect instanceof RouterEffect.FailRequest fail
                        && fail.retryAfterMillis() == 700));
  }

  @Test
  public void asksInAnotherDataCentreOnceWhenRefused() {
    router.tell(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    RequestId request = router.call(UNSAFE);
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r1", new SlotRefused(SERVICE, request, 700)));
    assertEquals(router.sent("r2", SlotsWanted.class).getLast().waiting().size(), 1);
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r2", new SlotRefused(SERVICE, request, 700)));
    assertEquals(router.answer(request), "not-run overloaded");
  }

  @Test
  public void asksWhereTheWaitIsShortest() {
    router.tell(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r1", new AllocatorLoad(SERVICE, "a1", 60)));
    router.call(UNSAFE);
    assertTrue(router.sent("r2", SlotsWanted.class).isEmpty(), "the way takes longer");
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r1", new AllocatorLoad(SERVICE, "a1", 300)));
    router.call(UNSAFE);
    assertEquals(router.sent("r2", SlotsWanted.class).getLast().waiting().size(), 1);
  }

  @Test
  public void tellsNewKeeperEverything() {
    final RequestId waiting = router.call(UNSAFE);
    final RequestId running = router.run(UNSAFE, "u1");
    String other = null;
    for (int index = 2; other == null && index < 20; index++) {
      router.tell(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r" + index, "a1")));
      other = router.sent("r" + index, SlotsWanted.class).isEmpty() ? null : "r" + index;
    }
    SlotsWanted everything = router.sent(other, SlotsWanted.class).getFirst();
    assertTrue(everything.complete());
    assertEquals(everything.waiting().getFirst().request(), waiting);
    assertEquals(everything.held().getFirst().call().request(), running);
  }

  @Test
  public void movesToAnotherDataCentreWhenItsRoutersLeave() {
    RequestId runs = router.run(STREAM, "u1");
    RequestId waits = router.call(SAFE);
    router.tell(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    router.tell(new RouterEvent.StopAnnounced());
    SlotsWanted told = router.sent("r2", SlotsWanted.class).getLast();
    assertTrue(told.complete());
    assertEquals(told.held().getFirst().call().request(), runs);
    assertEquals(told.waiting().getFirst().request(), waits);
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r2", new SlotGranted(SERVICE, waits, "u2")));
    router.began(waits, 200);
    router.ended(waits);
    assertEquals(router.answer(waits), "200 whole");
  }

  @Test
  public void keepsItsSlotsItselfWhileNobodyStays() {
    RequestId waits = router.call(SAFE);
    router.tell(new RouterEvent.StopAnnounced());
    router.grant(waits, "u1");
    assertEquals(router.runs(waits).size(), 1);
  }

  @Test
  public void movesRepeatableCallsThatAreRecalled() {
    RequestId safe = router.run(SAFE, "u1");
    RequestId unsafe = router.run(UNSAFE, "u1");
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r1", new SlotRecalled(SERVICE, safe, "u1")));
    router.tell(
        new RouterEvent.AllocatorMessageReceived("r1", new SlotRecalled(SERVICE, unsafe, "u1")));
    router.grant(safe, "u2");
    assertEquals(router.runs(safe).size(), 2);
    router.grant(unsafe, "u2");
    assertEquals(router.runs(unsafe).size(), 1);
  }

  @Test
  public void retriesStayWithinTheFleetsBudget() {
    int retried = 0;
    for (int index = 0; index < 200; index++) {
      RequestId request = router.run(SAFE, "u1");
      router.failed(request, Reason.UPSTREAM_FAILED);
      retried += router.answer(request).isEmpty() ? 1 : 0;
    }
    int allowed = (int) (0.2 * 200 + RouterPolicy.DEFAULT.retrySlack());
    assertTrue(retried > 0 && retried <= allowed, retried + " of at most " + allowed);
  }
}

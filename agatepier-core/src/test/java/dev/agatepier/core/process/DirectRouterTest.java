package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.SERVICE;
import static dev.agatepier.core.process.DirectRouterFixture.STREAM;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE_WITH_ATTEMPTS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.process.RouterEffect.CancelAttempt;
import dev.agatepier.core.process.RouterEffect.StreamContinued;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.InstanceList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
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
  public void runsGrantedCallsAndReportsToTheAllocator() {
    RequestId request = router.run(UNSAFE, "u1");
    assertEquals(router.runs(request).getFirst().upstream().name(), "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, -1);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 -1;complete");
    assertEquals(router.stages(request), List.of(SlotStage.RESPONSE_STARTED, SlotStage.COMPLETED));
  }

  @DataProvider
  public Object[][] unsafePlans() {
    return new Object[][] {{UNSAFE}, {UNSAFE_WITH_ATTEMPTS}};
  }

  @Test(dataProvider = "unsafePlans")
  public void doesNotRetryUnsafeCallThatMayHaveRun(CallPlan plan) {
    RequestId request = router.run(plan, "u1");
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), "unknown upstream-died");
    assertEquals(router.runs(request).size(), 1);
  }

  @Test
  public void retriesUnsafeCallThatProvablyDidNotRun() {
    RequestId request = router.run(UNSAFE, "u1");
    router.reportNotRun(request, Reason.UPSTREAM_BUSY);
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 2);
    assertEquals(router.stages(request), List.of(SlotStage.REJECTED));
  }

  @Test
  public void reportsNotRunWhenEveryAttemptWasRejected() {
    RequestId request = router.run(UNSAFE, "u1");
    router.reportNotRun(request, Reason.UPSTREAM_BUSY);
    router.advance(10_000);
    assertEquals(router.responseTo(request), "not-run deadline");
  }

  @Test
  public void retriesSafeCallOnAnotherUpstreamAfterErrorStatus() {
    RequestId request = router.run(SAFE, "u1");
    router.startResponse(request, 500);
    assertEquals(router.responseTo(request), "", "the failure is not forwarded yet");
    router.grant(request, "u2");
    router.startResponse(request, 500);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "500 complete", "the plan allows two upstreams");
    assertEquals(router.stages(request), List.of(SlotStage.FAILED, SlotStage.FAILED));
  }

  /** Guards against streams that are lost although an upstream has room for them soon. */
  @Test
  public void streamThatGoesOnWaitsLongerThanNewOne() {
    router.call(RESUMABLE);
    final long first = router.lastWaiting().objectiveMillis();
    router.call(RESUMABLE, OptionalLong.of(1));
    assertEquals(router.lastWaiting().objectiveMillis() - first, 3 * RESUMABLE.objectiveMillis());
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.lastWaiting().objectiveMillis() - first, 3 * RESUMABLE.objectiveMillis());
  }

  @Test
  public void resumesInterruptedStreamAfterItsLastEvent() {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.sendEvent(request, 2);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    assertEquals(router.runs(request).getLast().resumeAfter(), OptionalLong.of(2));
    router.startResponse(request, 200);
    router.sendEvent(request, 3);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;2;3;complete");
  }

  /**
   * Guards against a stream that ends as complete before its last event: an event with the number
   * of one that the caller has, or a run from the start, does not go on where the caller's events
   * end.
   */
  @Test
  public void streamIsNotContinuedByAnEventThatTheCallerHas() {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.sendEvent(request, 2);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.startResponse(request, 200);
    router.sendEvent(request, 2);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;2;unknown answer-incomplete");
  }

  @DataProvider
  public Object[][] firstEventsOfTheNextAttempt() {
    return new Object[][] {{3, 0, 0}, {5, 2, 0}, {1, 0, 2}};
  }

  /** Guards against events that are lost or come twice at a seam without a trace. */
  @Test(dataProvider = "firstEventsOfTheNextAttempt")
  public void reportsTheNumbersOnBothSidesOfSeam(long first, long missing, long repeated) {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.sendEvent(request, 2);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.startResponse(request, 200);
    router.sendEvent(request, first);
    router.sendEvent(request, 6);
    StreamContinued seam = new StreamContinued(router.attempt(request), 2, first, true);
    assertEquals(seams(), List.of(seam), "one report for each seam");
    assertEquals(seam.missing(), missing);
    assertEquals(seam.repeated(), repeated);
  }

  /** A call whose first attempt fails before any event still continues the stream of another. */
  @Test
  public void reportsSeamBetweenTwoCallsAsSuch() {
    RequestId request = router.call(RESUMABLE, OptionalLong.of(7));
    router.grant(request, "u1");
    router.startResponse(request, 200);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.sendEvent(request, 8);
    assertEquals(seams(), List.of(new StreamContinued(router.attempt(request), 7, 8, false)));
  }

  private List<RouterEffect> seams() {
    return router.effects.stream().filter(StreamContinued.class::isInstance).toList();
  }

  @DataProvider
  public Object[][] responsesThatContinueNoStream() {
    return new Object[][] {
      {503, false, "busy"},
      {500, false, "failed"},
      {404, false, "gone"},
      {302, false, "moved"},
      {200, false, "{\"error\":1}"},
      {204, false, ""},
      {200, true, "data: error\n\n"},
    };
  }

  /** Nothing of a response that does not continue the stream may reach its caller. */
  @Test(dataProvider = "responsesThatContinueNoStream")
  public void streamIsNotContinuedByAnotherResponse(
      int status, boolean eventStream, String content) {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.startResponse(request, status, eventStream);
    if (!content.isEmpty()) {
      router.sendContent(request, content);
    }
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;unknown answer-incomplete");
  }

  @Test
  public void resumedStreamThatHasNoFurtherEventsIsComplete() {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.startResponse(request, 200);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;complete");
  }

  @Test
  public void failsInterruptedStreamThatIsNotResumable() {
    RequestId request = router.run(STREAM, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), "200 1;unknown upstream-died");
  }

  @Test
  public void resumesAtTheCallersLastEvent() {
    RequestId request = router.call(RESUMABLE, OptionalLong.of(7));
    router.grant(request, "u1");
    assertEquals(router.runs(request).getFirst().resumeAfter(), OptionalLong.of(7));
  }

  @Test
  public void cancelsTheAttemptWhenTheCallerDisconnects() {
    RequestId request = router.run(STREAM, "u1");
    List<RouterEffect> newEffects = router.dispatch(new RouterEvent.CallerDisconnected(request));
    assertTrue(newEffects.contains(new CancelAttempt(router.attempt(request))));
    router.failAttempt(request, Reason.WITHDRAWN);
    assertEquals(router.responseTo(request), "unknown caller-gone");
    assertEquals(router.stages(request), List.of(SlotStage.CANCELLED));
  }

  @Test
  public void withdrawsTheWaitingCallWhenTheCallerDisconnects() {
    RequestId request = router.call(STREAM);
    router.dispatch(new RouterEvent.CallerDisconnected(request));
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN));
    router.grant(request, "u1");
    assertEquals(
        router.stages(request),
        List.of(SlotStage.WITHDRAWN, SlotStage.DECLINED),
        "a late grant is declined");
  }

  @Test
  public void endsCallsAtTheTimeoutOfTheirRoute() {
    RequestId waiting = router.call(UNSAFE);
    RequestId running = router.run(UNSAFE, "u1");
    router.advance(10_001);
    assertEquals(router.responseTo(waiting), "not-run deadline");
    router.failAttempt(running, Reason.WITHDRAWN);
    assertEquals(router.responseTo(running), "unknown deadline");
  }

  @Test
  public void declinesSlotsOfLeavingUpstreams() {
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.InstancesActivated(
            new InstanceList(
                2,
                List.of(),
                List.of(DirectRouterFixture.leaving("u1"), DirectRouterFixture.upstream("u2")))));
    router.grant(request, "u1");
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    assertEquals(router.runs(request), List.of());
  }

  /** A suspended router gets all grants at once when it resumes. */
  @Test
  public void declinesLateGrantsOfColdUpstreams() {
    RequestId request = router.call(UNSAFE);
    SlotMessage.WaitingCall report = router.lastWaiting();
    router.advance(1_251);
    router.grantCold(report, "u1", 1_000);
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    assertEquals(router.runs(request), List.of());
    assertNotEquals(router.lastWaiting(), report, "it waits again");
  }

  @Test
  public void limitsTimeUntilRequestIsSentToColdUpstream() {
    RequestId request = router.call(UNSAFE);
    router.advance(1_100);
    router.grantCold(router.lastWaiting(), "u1", 1_000);
    RouterEffect.RunAttempt run = router.runs(request).getFirst();
    assertFalse(run.isTooLate(router.now + 140_000_000L));
    assertTrue(run.isTooLate(router.now + 150_000_001L), "250 ms after the grant");
    router.dispatch(new RouterEvent.UpstreamNotRun(run.attempt(), Reason.WITHDRAWN, false));
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED), "no fault of the upstream");
  }

  /** The allocator counts a grant once, so it may be used once. */
  @Test
  public void declinesRepeatedGrantOfColdUpstream() {
    RequestId request = router.call(SAFE);
    SlotMessage.WaitingCall report = router.lastWaiting();
    router.grantCold(report, "u1", 0);
    router.advance(10);
    router.failAttempt(request, Reason.UPSTREAM_FAILED);
    router.grantCold(report, "u1", 0);
    assertEquals(router.runs(request).size(), 1);
  }

  /** Consecutive failed connections mean that the upstream may be back cold. */
  @Test
  public void reportsFailedConnections() {
    RequestId request = router.run(SAFE, "u1");
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "u2");
    router.reportNotRun(request, Reason.UPSTREAM_UNREACHABLE);
    assertEquals(router.stages(request), List.of(SlotStage.DISCONNECTED, SlotStage.DISCONNECTED));
  }

  @Test
  public void declinesSlotsOfRemovedUpstreams() {
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.InstancesActivated(
            new InstanceList(2, List.of(), List.of(DirectRouterFixture.upstream("u2")))));
    router.grant(request, "u1");
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 1);
  }

  @Test
  public void rejectionIsNotRunWithRetryAfter() {
    RequestId request = router.call(UNSAFE);
    List<RouterEffect> newEffects =
        router.dispatch(
            new RouterEvent.AllocatorMessageReceived(
                "r1", new SlotRefused(SERVICE, request, 700, "")));
    assertEquals(router.responseTo(request), "not-run overloaded");
    assertTrue(
        newEffects.stream()
            .anyMatch(
                effect ->
                    effect instanceof RouterEffect.FailRequest fail
                        && fail.retryAfterMillis() == 700));
  }

  @Test
  public void asksDataCentreThatTheRejectionNamesOnce() {
    router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1", new SlotRefused(SERVICE, request, 700, "b1")));
    assertEquals(router.sent("r2", SlotsWanted.class).getLast().waiting().size(), 1);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r2", new SlotRefused(SERVICE, request, 700, "a1")));
    assertEquals(router.responseTo(request), "not-run overloaded");
  }

  @DataProvider
  public static Object[][] unusableAlternatives() {
    return new Object[][] {{""}, {"data-centre-without-routers"}};
  }

  @Test(dataProvider = "unusableAlternatives")
  public void rejectsAtOnceWithoutUsableAlternative(String alternative) {
    router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1", new SlotRefused(SERVICE, request, 700, alternative)));
    assertEquals(router.responseTo(request), "not-run overloaded");
  }

  @Test
  public void asksWhereTheWaitIsShortest() {
    router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r1", new AllocatorLoad(SERVICE, "a1", 60)));
    router.call(UNSAFE);
    assertTrue(
        router.sent("r2", SlotsWanted.class).isEmpty(),
        "the round trip takes longer than the wait");
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r1", new AllocatorLoad(SERVICE, "a1", 300)));
    router.call(UNSAFE);
    assertEquals(router.sent("r2", SlotsWanted.class).getLast().waiting().size(), 1);
  }

  /** Guards against a load that is sent twice, or taken for as new as the message with it. */
  @Test
  public void sendsStatedLoadAndItsAgeWithTheFirstChange() {
    UpstreamLoadReport load = new UpstreamLoadReport(3, 1, 8, OptionalInt.of(170));
    RequestId request = router.run(UNSAFE, "u1");
    router.dispatch(new RouterEvent.UpstreamLoadReported(router.attempt(request), load));
    router.advance(40);
    router.startResponse(request, 200);
    router.sendContent(request, "a");
    router.endResponse(request);
    assertEquals(
        router.sent("r1", SlotsChanged.class).stream()
            .flatMap(message -> message.changes().stream())
            .map(SlotChange::load)
            .toList(),
        List.of(Optional.of(new ReceivedLoad(load, 40)), Optional.empty()));
  }

  @Test
  public void sendsNewAllocatorTheCompleteState() {
    final RequestId waiting = router.call(UNSAFE);
    final RequestId running = router.run(UNSAFE, "u1");
    String other = null;
    for (int index = 2; other == null && index < 20; index++) {
      router.dispatch(
          new RouterEvent.PeerConnected(DirectRouterFixture.identity("r" + index, "a1")));
      other = router.sent("r" + index, SlotsWanted.class).isEmpty() ? null : "r" + index;
    }
    SlotsWanted state = router.sent(other, SlotsWanted.class).getFirst();
    assertTrue(state.complete());
    assertEquals(state.waiting().getFirst().request(), waiting);
    assertEquals(state.held().getFirst().call().request(), running);
  }

  @Test
  public void movesToAnotherDataCentreWhenItsRoutersLeave() {
    RequestId running = router.run(STREAM, "u1");
    RequestId waiting = router.call(SAFE);
    router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    router.dispatch(new RouterEvent.StopAnnounced(router.now + 60_000_000_000L));
    SlotsWanted state = router.sent("r2", SlotsWanted.class).getLast();
    assertTrue(state.complete());
    assertEquals(state.held().getFirst().call().request(), running);
    assertEquals(state.waiting().getFirst().request(), waiting);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r2", new SlotGranted(SERVICE, waiting, "u2")));
    router.startResponse(waiting, 200);
    router.endResponse(waiting);
    assertEquals(router.responseTo(waiting), "200 complete");
  }

  @Test
  public void allocatesSlotsItselfWhileNoOtherRouterRemains() {
    RequestId waiting = router.call(SAFE);
    router.dispatch(new RouterEvent.StopAnnounced(router.now + 60_000_000_000L));
    router.grant(waiting, "u1");
    assertEquals(router.runs(waiting).size(), 1);
  }

  /** Large requests that get slots but never complete are underserved too. */
  @Test
  public void reportsSizeWhoseRequestsFailAsUnderserved() {
    for (int index = 0; index < 10; index++) {
      RequestId small = router.callWithParts(STREAM);
      router.grant(small, "u1");
      router.startResponse(small, 200);
      router.sendEvent(small, 1);
      router.endResponse(small);
      RequestId large = router.callWithParts(STREAM, "a", "b", "c", "d", "e", "f", "g");
      router.grant(large, "u1");
      router.failAttempt(large, Reason.UPSTREAM_DIED);
    }
    router.callWithParts(STREAM);
    assertFalse(router.lastWaiting().underserved());
    router.callWithParts(STREAM, "a", "b", "c", "d", "e", "f", "g");
    assertTrue(router.lastWaiting().underserved());
  }

  /** A former allocator does not see the progress of the request, and may recall it late. */
  @Test
  public void ignoresRecallsOfRoutersThatAreNotTheAllocator() {
    RequestId safe = router.run(SAFE, "u1");
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r9", new SlotRecalled(SERVICE, safe, "u1")));
    router.grant(safe, "u2");
    assertEquals(router.runs(safe).size(), 1);
  }

  @Test
  public void movesRecalledCallsThatAreRepeatable() {
    RequestId safe = router.run(SAFE, "u1");
    RequestId unsafe = router.run(UNSAFE, "u1");
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r1", new SlotRecalled(SERVICE, safe, "u1")));
    router.dispatch(
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
      router.failAttempt(request, Reason.UPSTREAM_FAILED);
      retried += router.responseTo(request).isEmpty() ? 1 : 0;
    }
    int allowed = (int) (0.2 * 200 + RouterPolicy.DEFAULT.retrySlack());
    assertTrue(retried > 0 && retried <= allowed, retried + " of at most " + allowed);
  }
}

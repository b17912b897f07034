package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.SERVICE;
import static dev.agatepier.core.process.DirectRouterFixture.identity;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A router in region a, with upstreams ua in its data centre and ub in region b, where r2 is. */
public class AllowedRegionsRouterTest {

  private static final AllowedRegions A = AllowedRegions.only(List.of("a"));
  private static final AllowedRegions B = AllowedRegions.only(List.of("b"));
  private static final String REJECTED = "not-run no-permitted-upstream";

  private DirectRouterFixture router;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "b1")));
    router.publish(Map.of("ua", "a1", "ub", "b1"));
  }

  /** An allocator with other settings of the regions must not exchange messages without end. */
  @Test
  public void grantsInOtherRegionAreDeclinedAndEndTheRequest() {
    RequestId request = router.callIn(B, SAFE);
    for (int grant = 0; grant < 4; grant++) {
      assertEquals(waitingAt("r2").allowedRegions(), B);
      assertEquals(router.responseTo(request), "");
      router.grantFrom("r2", request, "ua");
    }
    assertTrue(router.runs(request).isEmpty());
    assertEquals(router.responseTo(request), REJECTED);
    assertEquals(router.stages(request).getFirst(), SlotStage.DECLINED);
  }

  /** A stream that broke off must not be retried in another region. */
  @Test
  public void retryStaysInPermittedRegion() {
    RequestId request = router.callIn(B, RESUMABLE);
    router.grantFrom("r2", request, "ub");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grantFrom("r2", request, "ua");
    assertEquals(router.runs(request).size(), 1);
    router.grantFrom("r2", request, "ub");
    assertEquals(router.runs(request).size(), 2);
  }

  /** A resumption that was not sent must not use up an attempt of the stream. */
  @Test
  public void unsentResumptionMovesToPermittedRegion() {
    RequestId request = router.run(RESUMABLE, "ua");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "ua");
    router.activateLists(B, AllowedRegions.ALL);
    router.dispatch(
        new RouterEvent.UpstreamNotRun(router.attempt(request), Reason.WITHDRAWN, false));
    router.grantFrom("r2", request, "ub");
    assertEquals(router.runs(request).getLast().upstream().name(), "ub");
  }

  /** An allocator with an older table may name a data centre that is not permitted any more. */
  @Test
  public void alternativeInOtherRegionIsNotTaken() {
    RequestId request = router.callIn(B, SAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r2", new SlotRefused(SERVICE, request, 700, "a1")));
    assertEquals(router.responseTo(request), "not-run overloaded");
  }

  /** The allocator of a fallback data centre ends, and another one takes the upstreams over. */
  @Test
  public void waitingRequestFollowsItsUpstreamsToAnotherAllocator() {
    router.dispatch(new RouterEvent.PeerDisconnected(identity("r2", "b1")));
    RequestId request = router.callIn(B, SAFE);
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "b1")));
    assertEquals(waitingAt("r2").request(), request);
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN));
  }

  @DataProvider
  public Object[][] shorterLists() {
    return new Object[][] {{B, AllowedRegions.ALL}, {AllowedRegions.ALL, B}};
  }

  @Test(dataProvider = "shorterLists")
  public void waitingRequestMovesWithItsAge(AllowedRegions route, AllowedRegions workspace) {
    RequestId request = router.call(SAFE);
    assertEquals(waitingAt("r1").request(), request);
    router.now += 40_000_000;
    router.activateLists(route, workspace);
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN));
    assertEquals(waitingAt("r2").request(), request);
    // 500 ms, less its age of 40 ms and the round trip of 80 ms to the other region.
    assertEquals(waitingAt("r2").objectiveMillis(), 380);
  }

  /** A grant that was sent before the table changed must not be used, also of a fallback. */
  @Test
  public void grantOfEarlierTableIsDeclined() {
    router.dispatch(new RouterEvent.PeerDisconnected(identity("r2", "b1")));
    RequestId request = router.call(SAFE);
    router.activateLists(B, AllowedRegions.ALL);
    router.grant(request, "ua");
    assertTrue(router.runs(request).isEmpty());
    router.grant(request, "ub");
    assertEquals(router.runs(request).getFirst().upstream().name(), "ub");
  }

  /** An allocator ignores the report that crosses its grant, so it would wait without end. */
  @Test
  public void requestIsReportedAgainWhenLateColdGrantOfEarlierTableIsDeclined() {
    RequestId request = router.call(SAFE);
    WaitingCall earlier = waitingAt("r1");
    router.now += 40_000_000;
    router.activateLists(A, AllowedRegions.ALL);
    final int reports = router.sent("r1", SlotsWanted.class).size();
    router.grantCold(earlier, "ua", 0);
    assertTrue(router.runs(request).isEmpty());
    assertEquals(router.sent("r1", SlotsWanted.class).size(), reports + 1);
    router.grantCold(waitingAt("r1"), "ua", 0);
    assertEquals(router.runs(request).size(), 1);
  }

  /** The connection to the upstream may still be opening when the table changes. */
  @Test
  public void attemptThatIsNotSentYetIsCancelledAndMoves() {
    RequestId request = router.run(SAFE, "ua");
    router.activateLists(B, AllowedRegions.ALL);
    RouterEffect cancelled = new RouterEffect.CancelUnsentAttempt(router.attempt(request));
    assertTrue(router.effects.contains(cancelled));
    router.dispatch(
        new RouterEvent.UpstreamNotRun(router.attempt(request), Reason.WITHDRAWN, false));
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    assertEquals(waitingAt("r2").request(), request);
  }

  /** A longer list applies to requests that wait, too. */
  @Test
  public void waitingRequestIsReportedAgainWhenItsListBecomesLonger() {
    router.activateLists(B, AllowedRegions.ALL);
    RequestId request = router.callIn(B, SAFE);
    router.activateLists(AllowedRegions.ALL, AllowedRegions.ALL);
    assertEquals(waitingAt("r1").request(), request);
    assertEquals(waitingAt("r1").allowedRegions(), AllowedRegions.ALL);
  }

  /** Without its route a table says nothing about the regions of a request. */
  @Test
  public void requestOfRemovedRouteKeepsItsList() {
    router.activateLists(B, AllowedRegions.ALL);
    RequestId request = router.callIn(B, SAFE);
    router.activateWithoutRoutes();
    router.grantFrom("r2", request, "ua");
    router.grant(request, "ua");
    assertTrue(router.runs(request).isEmpty());
  }

  @Test
  public void emptyIntersectionIsRejectedAtOnce() {
    router.activateLists(A, B);
    RequestId request = router.callIn(A, SAFE);
    assertEquals(router.responseTo(request), REJECTED);
    assertEquals(retryAfterMillis(request), 0);
  }

  /** No router can serve it until the settings change, so that it must not come again. */
  @Test
  public void regionWithoutDataCentreIsRejectedAtOnce() {
    RequestId request = router.callIn(AllowedRegions.only(List.of("c")), SAFE);
    assertEquals(router.responseTo(request), REJECTED);
    assertEquals(retryAfterMillis(request), 0);
  }

  @Test
  public void regionWithoutUpstreamIsRejectedAtOnce() {
    router.publish(Map.of("ua", "a1"));
    RequestId request = router.callIn(B, SAFE);
    assertEquals(router.responseTo(request), REJECTED);
    assertEquals(retryAfterMillis(request), 1_000);
  }

  /** A router that has just started does not know yet which upstreams there are. */
  @Test
  public void requestWaitsForTheFirstInstanceList() {
    router = DirectRouterFixture.withoutInstances();
    RequestId request = router.callIn(A, SAFE);
    assertEquals(router.responseTo(request), "");
    router.publish(Map.of("ua", "a1"));
    router.grant(request, "ua");
    assertEquals(router.runs(request).size(), 1);
  }

  @Test
  public void requestIsRejectedWhenTheLastPermittedUpstreamGoes() {
    RequestId request = router.callIn(B, SAFE);
    router.publish(Map.of("ua", "a1"));
    assertEquals(router.responseTo(request), REJECTED);
  }

  /** A request that may have run must not be called not run. */
  @Test
  public void failedAttemptWithoutPermittedUpstreamIsNotCalledNotRun() {
    RequestId request = router.callIn(B, SAFE);
    router.grantFrom("r2", request, "ub");
    router.publish(Map.of("ua", "a1"));
    router.failAttempt(request, Reason.UPSTREAM_FAILED);
    assertEquals(router.responseTo(request), "unknown no-permitted-upstream");
    assertEquals(retryAfterMillis(request), 0);
  }

  /** A request that waits elsewhere after a declined grant must not be counted here as well. */
  @Test
  public void formerAllocatorIsNotToldAgainOfRequestThatMoved() {
    RequestId request = router.call(SAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r1", new AllocatorLoad(SERVICE, "a1", 5_000)));
    router.grant(request, "unknown");
    assertEquals(waitingAt("r2").request(), request);
    final int former = router.sent("r1", SlotsWanted.class).size();
    for (int index = 3; index < 20; index++) {
      router.dispatch(new RouterEvent.PeerConnected(identity("r" + index, "a1")));
      router.dispatch(new RouterEvent.PeerDisconnected(identity("r" + index, "a1")));
    }
    List<SlotsWanted> later = router.sent("r1", SlotsWanted.class);
    assertTrue(later.size() > former);
    assertTrue(
        later.subList(former, later.size()).stream()
            .allMatch(message -> message.waiting().isEmpty()));
  }

  /** A data centre that the settings do not list may be anywhere. */
  @Test
  public void dataCentreOfUnknownRegionIsNotPermitted() {
    router.publish(Map.of("uc", "c1"));
    assertEquals(router.responseTo(router.callIn(A, SAFE)), REJECTED);
    RequestId anywhere = router.call(SAFE);
    router.grant(anywhere, "uc");
    assertEquals(router.runs(anywhere).size(), 1);
  }

  @Test
  public void reportsChangedLists() {
    router.call(SAFE);
    router.activateLists(B, AllowedRegions.ALL);
    router.activateLists(B, AllowedRegions.ALL);
    List<RouterEffect> changes =
        router.effects.stream()
            .filter(RouterEffect.AllowedRegionsChanged.class::isInstance)
            .toList();
    assertEquals(changes, List.of(new RouterEffect.AllowedRegionsChanged(2, 1, 0, 1)));
  }

  private WaitingCall waitingAt(String allocator) {
    return router.sent(allocator, SlotsWanted.class).stream()
        .flatMap(message -> message.waiting().stream())
        .reduce((first, last) -> last)
        .orElseThrow();
  }

  private long retryAfterMillis(RequestId request) {
    return router.effects.stream()
        .filter(effect -> effect instanceof FailRequest fail && fail.request().equals(request))
        .mapToLong(effect -> ((FailRequest) effect).retryAfterMillis())
        .sum();
  }
}

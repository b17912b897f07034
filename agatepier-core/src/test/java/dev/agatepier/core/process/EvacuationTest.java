package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.SERVICE;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.Upstream;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A router in the data centre a1, and others, while data centres are evacuated. */
public class EvacuationTest {

  private static final List<String> DATA_CENTRES = List.of("a1", "b1", "c1");
  private static final CallPlan PLAN =
      new CallPlan("r", false, true, true, 2, 15_000, 1_000, 300, 1);

  private static final AllowedRegions REGION_B = AllowedRegions.only(List.of("b"));

  /** Longest time from the activation by the first router to that by the last. */
  private static final int SPREAD_MILLIS = 300;

  private DirectRouterFixture router;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
    router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity("r2", "b1")));
    router.evacuate(Set.of());
  }

  @Test
  public void waitingRequestMovesAndKeepsItsAge() {
    RequestId request = router.call(UNSAFE);
    final long objectiveBefore = router.lastWaiting().objectiveMillis();
    router.advance(100);
    router.evacuate(Set.of("a1"));
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN));
    WaitingCall moved = router.sent("r2", SlotsWanted.class).getLast().waiting().getLast();
    assertEquals(moved.request(), request);
    assertTrue(moved.objectiveMillis() <= objectiveBefore - 100, moved.toString());
  }

  @Test
  public void slotGrantedBeforeTheEvacuationIsDeclined() {
    RequestId request = router.call(UNSAFE);
    router.evacuate(Set.of("a1"));
    router.grant(request, "u1");
    assertEquals(router.stages(request), List.of(SlotStage.WITHDRAWN, SlotStage.DECLINED));
    assertEquals(router.runs(request), List.of());
  }

  /** Guards against an allocator of another data centre that does not know the evacuation yet. */
  @Test
  public void slotOfAnEvacuatedUpstreamIsDeclinedWhoeverGrantsIt() {
    router.evacuate(Set.of("a1"));
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r2", new SlotGranted(SERVICE, request, "u1")));
    assertEquals(router.runs(request), List.of());
    assertEquals(router.sent("r2", SlotsWanted.class).getLast().waiting().size(), 1);
  }

  @Test
  public void runningRequestEndsNormally() {
    RequestId request = router.run(UNSAFE, "u1");
    router.evacuate(Set.of("a1"));
    router.startResponse(request, 200, false);
    router.sendContent(request, "seats");
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 seatscomplete");
  }

  @Test
  public void retryGoesElsewhere() {
    RequestId request = router.run(SAFE, "u1");
    router.evacuate(Set.of("a1"));
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(
        router.sent("r2", SlotsWanted.class).getLast().waiting().getLast().request(), request);
  }

  @Test
  public void resumedStreamGoesElsewhere() {
    RequestId request = router.run(RESUMABLE, "u1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.evacuate(Set.of("a1"));
    router.failAttempt(request, Reason.ANSWER_INCOMPLETE);
    assertEquals(
        router.sent("r2", SlotsWanted.class).getLast().waiting().getLast().request(), request);
  }

  @Test
  public void refusedRequestDoesNotMoveToAnEvacuatedDataCentre() {
    router.evacuate(Set.of("b1"));
    RequestId request = router.call(UNSAFE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1", new SlotRefused(SERVICE, request, 700, "b1")));
    assertEquals(router.responseTo(request), "not-run overloaded");
  }

  @Test
  public void withoutAnyUpstreamWaitingAndNewRequestsAreRejectedAtOnce() {
    RequestId waiting = router.call(UNSAFE);
    router.evacuate(Set.of("a1", "b1"));
    RequestId arriving = router.call(UNSAFE);
    assertEquals(router.responseTo(waiting), "not-run no-upstream");
    assertEquals(router.responseTo(arriving), "not-run no-upstream");
    assertEquals(retryAfterMillis().distinct().count(), 2, "they must not all return at once");
    assertTrue(retryAfterMillis().noneMatch(millis -> millis == 0));
  }

  /** Guards against waiting in vain where other regions would serve the request. */
  @Test
  public void requestBoundToAnEvacuatedRegionIsRejectedAtOnce() {
    RequestId waiting = router.callIn(REGION_B, UNSAFE);
    router.evacuate(Set.of("b1"));
    RequestId arriving = router.callIn(REGION_B, UNSAFE);
    assertEquals(router.responseTo(waiting), "not-run no-permitted-upstream");
    assertEquals(router.responseTo(arriving), "not-run no-permitted-upstream");
    assertTrue(retryAfterMillis().allMatch(millis -> millis >= 1_000));
    assertEquals(retryAfterMillis().distinct().count(), 2, "they must not all return at once");
    assertEquals(router.stages(waiting), List.of(SlotStage.WITHDRAWN));
  }

  /** Guards against naming regions as the cause where no region has a usable upstream. */
  @Test
  public void boundRequestWithoutAnyUpstreamIsRejectedLikeOthers() {
    RequestId waiting = router.callIn(REGION_B, UNSAFE);
    router.evacuate(Set.of("a1", "b1"));
    assertEquals(router.responseTo(waiting), "not-run no-upstream");
  }

  /** Guards against a stream that is cut off although its upstream is the only permitted one. */
  @Test
  public void recalledRequestStaysWhereNoOtherUpstreamIsPermitted() {
    RequestId request = router.callIn(REGION_B, SAFE);
    router.grantFrom("r2", request, "u3");
    router.evacuate(Set.of("b1"));
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived("r2", new SlotRecalled(SERVICE, request, "u3")));
    assertEquals(router.responseTo(request), "");
    assertEquals(router.stages(request), List.of());
  }

  /** Guards against a retry that waits in vain and hides how its attempt failed. */
  @Test
  public void withoutAnyUpstreamFailedAttemptIsNotRetried() {
    RequestId request = router.run(SAFE, "u1");
    router.evacuate(Set.of("a1", "b1"));
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), "unknown upstream-died");
  }

  @Test
  public void requestsReturnWhenTheEvacuationEnds() {
    router.evacuate(Set.of("a1"));
    router.evacuate(Set.of());
    RequestId request = router.run(UNSAFE, "u1");
    assertEquals(router.runs(request).stream().map(RunAttempt::upstream).toList().size(), 1);
  }

  /** Guards against grants of an allocator that its router alone would have to decline. */
  @Test
  public void allocatorGrantsNoSlotOfAnEvacuatedDataCentre() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.publishEvacuated(Set.of("a1"), "p1");
    RequestId request = allocator.requestPlain("w", 5_000);
    assertFalse(allocator.isGranted(request));
    allocator.publishEvacuated(Set.of(), "p1");
    assertTrue(allocator.isGranted(request));
  }

  @Test
  public void allocatorDoesNotNameAnEvacuatedDataCentreAsAlternative() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r9", "b1")));
    allocator.publishEvacuated(Set.of("b1"), "p1", "b-p2");
    allocator.requestPlain("w", 5_000);
    allocator.requestPlain("w", 5_000);
    allocator.requestPlain("w", 5_000);
    assertEquals(allocator.alternativeOf(allocator.requestPlain("w", 1)), "");
    allocator.publishEvacuated(Set.of(), "p1", "b-p2");
    assertEquals(allocator.alternativeOf(allocator.requestPlain("w", 1)), "b1");
  }

  @Test
  public void operatorsSeeTheStateOfUpstreams() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1", "p2x");
    allocator.advance(25);
    allocator.publishEvacuated(Set.of("a1"), "p1", "p2x");
    allocator.advance(25);
    assertEquals(
        allocator.availabilityChanges.stream().map(change -> change.state()).toList(),
        List.of(UpstreamState.LEAVING, UpstreamState.EVACUATED));
    assertEquals(
        allocator.decision.upstreamCounts(allocator.now),
        Map.of(UpstreamState.LEAVING, 1L, UpstreamState.EVACUATED, 1L));
  }

  @DataProvider
  public static Object[][] evacuations() {
    return new Object[][] {{Set.of("a1")}, {Set.of("b1", "c1")}, {Set.of("a1", "c1")}};
  }

  /** Guards against any way by which a request still reaches an evacuated data centre. */
  @Test(dataProvider = "evacuations")
  public void nothingReachesEvacuatedDataCentresAndAllRequestsAreServed(Set<String> evacuated) {
    VirtualTime time = new VirtualTime(7);
    Calls calls = new Calls();
    AllocatingFleet fleet =
        new AllocatingFleet(
            time, DATA_CENTRES, List.of("w"), SlotAllocatorPolicy.DEFAULT, 25, calls);
    callEvery(20, time, fleet);
    time.after(2_000, () -> fleet.evacuate(evacuated, SPREAD_MILLIS / DATA_CENTRES.size()));
    time.runUntil(2_000);
    assertEquals(calls.sentTo, Set.copyOf(DATA_CENTRES));
    time.runUntil(2_000 + SPREAD_MILLIS);
    calls.sentTo.clear();
    time.runUntil(8_000);
    Set<String> others = new HashSet<>(DATA_CENTRES);
    others.removeAll(evacuated);
    assertEquals(calls.sentTo, others);
    assertEquals(calls.rejected, 0);
    fleet.evacuate(Set.of(), 0);
    time.runUntil(12_000);
    assertEquals(calls.sentTo, Set.copyOf(DATA_CENTRES));
  }

  /** Guards against requests with a shared prefix that spread when its home is evacuated. */
  @Test
  public void sharedPrefixGetsOneOtherHome() {
    VirtualTime time = new VirtualTime(7);
    Calls calls = new Calls();
    AllocatingFleet fleet =
        new AllocatingFleet(
            time, DATA_CENTRES, List.of("w"), SlotAllocatorPolicy.DEFAULT, 25, calls);
    Set<String> home = sendSharedPrefix(fleet, calls, time);
    assertEquals(home.size(), 1);
    fleet.evacuate(home, 0);
    time.runUntil(time.nowMillis() + SPREAD_MILLIS);
    Set<String> otherHome = sendSharedPrefix(fleet, calls, time);
    assertEquals(otherHome.size(), 1);
    assertFalse(otherHome.equals(home));
  }

  /** Returns the retry-after times of the rejected requests. */
  private LongStream retryAfterMillis() {
    return router.effects.stream()
        .filter(FailRequest.class::isInstance)
        .mapToLong(effect -> ((FailRequest) effect).retryAfterMillis());
  }

  /** Returns the data centres to which requests of all routers with one prefix are sent. */
  private static Set<String> sendSharedPrefix(
      AllocatingFleet fleet, Calls calls, VirtualTime time) {
    calls.sentTo.clear();
    for (String dataCentre : DATA_CENTRES) {
      List<PromptPart> parts =
          List.of(new PromptPart("shared", 8_000), new PromptPart("own-" + time.draw(99), 8));
      fleet.call(dataCentre, "w", PLAN, new PromptMetadata("m", 8_008, 40, parts));
    }
    time.runUntil(time.nowMillis() + 5_000);
    return Set.copyOf(calls.sentTo);
  }

  private static void callEvery(int millis, VirtualTime time, AllocatingFleet fleet) {
    for (String dataCentre : DATA_CENTRES) {
      PromptPart own = new PromptPart("own-" + time.draw(1 << 30), 800);
      fleet.call(dataCentre, "w", PLAN, new PromptMetadata("m", 800, 40, List.of(own)));
    }
    time.after(millis, () -> callEvery(millis, time, fleet));
  }

  /** Notes where requests are sent. */
  private static final class Calls implements AllocatingFleet.Observer {
    private final Set<String> sentTo = new HashSet<>();
    private int rejected;

    @Override
    public void onSent(RequestId request, Upstream upstream) {
      sentTo.add(upstream.dataCentre());
    }

    @Override
    public void onStarted(RequestId request) {}

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      rejected++;
    }
  }
}

package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.SERVICE;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.UpstreamUnavailable;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEvent.UpstreamNoticed;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Upstreams say in their responses that they are leaving or that they want a pause. */
public class UpstreamNoticesTest {

  private static final UpstreamNotice LEAVING = new UpstreamNotice(true, OptionalLong.empty());

  private DirectRouterFixture router;
  private long version = 10;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
  }

  @Test
  public void slotOfUpstreamThatIsLeavingIsDeclined() {
    notice("u1", 1, LEAVING);
    RequestId request = router.call(UNSAFE);
    router.grant(request, "u1");
    assertEquals(router.runs(request), List.of());
    assertEquals(router.stages(request), List.of(SlotStage.DECLINED));
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 1);
  }

  @DataProvider
  public Object[][] entries() {
    return new Object[][] {
      {"ready again", List.of(entry("u1", 1, 8_000)), false},
      {"an older entry", List.of(entry("u1", 0, 8_000)), false},
      {"a later incarnation", List.of(entry("u1", 2, 8_000)), true},
      {"the address reused", List.of(entry("u9", 5, 8_000)), true}
    };
  }

  @Test(dataProvider = "entries")
  public void leavingHoldsUntilLaterIncarnationIsKnown(
      String change, List<Upstream> upstreams, boolean ends) {
    notice("u1", 1, LEAVING);
    activate(upstreams);
    RequestId request = router.call(UNSAFE);
    router.grant(request, upstreams.getFirst().name());
    assertEquals(router.runs(request).size(), ends ? 1 : 0, change);
  }

  @Test
  public void leavingEndsWithTheEntry() {
    notice("u1", 1, LEAVING);
    activate(List.of(entry("u2", 1, 8_000)));
    activate(List.of(entry("u1", 1, 8_000)));
    RequestId request = router.run(UNSAFE, "u1");
    assertEquals(router.runs(request).size(), 1);
  }

  /** Guards against a late response of a process that has been replaced. */
  @Test
  public void noticeOfAnEarlierIncarnationDoesNotCount() {
    activate(List.of(entry("u1", 2, 8_000)));
    notice("u1", 1, LEAVING);
    assertEquals(router.runs(router.run(UNSAFE, "u1")).size(), 1);
  }

  @Test
  public void pauseLastsForTheStatedTime() {
    notice("u1", 1, pause(2_000));
    router.advance(1_999);
    assertEquals(router.runs(router.run(UNSAFE, "u1")).size(), 0);
    router.advance(1);
    assertEquals(router.runs(router.run(UNSAFE, "u1")).size(), 1);
  }

  @Test
  public void laterPauseReplacesTheEarlierOne() {
    notice("u1", 1, pause(60_000));
    notice("u1", 1, pause(500));
    router.advance(500);
    assertEquals(router.runs(router.run(UNSAFE, "u1")).size(), 1);
  }

  @Test
  public void pauseDoesNotApplyToNewIncarnation() {
    notice("u1", 1, pause(60_000));
    router.restartUpstreams();
    assertEquals(router.runs(router.run(UNSAFE, "u1")).size(), 1);
  }

  @Test
  public void allocatorIsToldOnceAndAgainAtGrant() {
    notice("u1", 1, pause(2_000));
    router.advance(500);
    assertEquals(
        router.sent("r1", UpstreamUnavailable.class),
        List.of(new UpstreamUnavailable(SERVICE, "u1", 1, false, 2_000)));
    router.grant(router.call(UNSAFE), "u1");
    assertEquals(
        router.sent("r1", UpstreamUnavailable.class).getLast(),
        new UpstreamUnavailable(SERVICE, "u1", 1, false, 1_500));
  }

  /** Guards against an allocator that learned of the upstream after the report. */
  @Test
  public void allocatorIsToldAgainWhileTheNoticeHolds() {
    notice("u1", 1, LEAVING);
    router.advance(999);
    assertEquals(router.sent("r1", UpstreamUnavailable.class).size(), 1);
    router.advance(1);
    assertEquals(router.sent("r1", UpstreamUnavailable.class).size(), 2);
    activate(List.of(entry("u1", 2, 8_000)));
    router.advance(1_000);
    assertEquals(router.sent("r1", UpstreamUnavailable.class).size(), 2);
  }

  /** Guards against a new allocator that grants slots of the upstream to other routers. */
  @Test
  public void newAllocatorIsTold() {
    notice("u1", 1, LEAVING);
    String other = null;
    for (int index = 2; other == null && index < 20; index++) {
      String name = "r" + index;
      router.dispatch(new RouterEvent.PeerConnected(DirectRouterFixture.identity(name, "a1")));
      other = router.sent(name, UpstreamUnavailable.class).isEmpty() ? null : name;
    }
    assertTrue(other != null, "another router must become the allocator");
  }

  @Test
  public void withoutUsableUpstreamRequestsAreRejectedUntilTheFirstIsBack() {
    notice("u1", 1, LEAVING);
    RequestId waiting = router.call(UNSAFE);
    notice("u2", 1, pause(3_000));
    RequestId arriving = router.call(UNSAFE);
    assertEquals(router.responseTo(waiting), "not-run no-upstream");
    assertEquals(router.responseTo(arriving), "not-run no-upstream");
    for (RouterEffect effect : router.effects) {
      if (effect instanceof FailRequest fail) {
        assertTrue(
            fail.retryAfterMillis() >= 3_000 && fail.retryAfterMillis() < 4_000, fail.toString());
      }
    }
    router.advance(3_000);
    assertEquals(router.runs(router.run(UNSAFE, "u2")).size(), 1);
  }

  @Test
  public void rejectedAttemptWaitsForAnotherUpstream() {
    RequestId request = router.run(SAFE, "u1");
    notice("u1", 1, pause(2_000));
    router.reportNotRun(request, Reason.UPSTREAM_BUSY);
    router.grant(request, "u2");
    assertEquals(router.runs(request).size(), 2);
  }

  @Test
  public void allocatorGrantsNobodySlotsOfUpstreamThatIsLeaving() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    tell(allocator, "r2", new UpstreamUnavailable(SlotAllocatorFixture.PLAIN, "p1", 1, true, 0));
    allocator.publishUpstreams("p1");
    assertFalse(allocator.isGranted(allocator.requestPlain("w", 5_000)));
    allocator.advance(25);
    assertEquals(allocator.availabilityChanges.getLast().state(), UpstreamState.LEAVING);
  }

  @Test
  public void allocatorIgnoresWhatAnEarlierIncarnationSaid() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    tell(allocator, "r2", new UpstreamUnavailable(SlotAllocatorFixture.PLAIN, "p1", 0, true, 0));
    assertTrue(allocator.isGranted(allocator.requestPlain("w", 5_000)));
  }

  @Test
  public void allocatorDoesNotGrantPausedUpstreamToThatRouter() {
    SlotAllocatorFixture allocator = new SlotAllocatorFixture("p1");
    String router = SlotAllocatorFixture.ROUTER;
    tell(allocator, "r2", new UpstreamUnavailable(SlotAllocatorFixture.PLAIN, "p1", 1, false, 500));
    assertTrue(allocator.isGranted(allocator.requestPlain("w", 5_000)), "another router's pause");
    tell(
        allocator,
        router,
        new UpstreamUnavailable(SlotAllocatorFixture.PLAIN, "p1", 1, false, 500));
    RequestId paused = allocator.requestPlain("w", 5_000);
    allocator.advance(499);
    assertFalse(allocator.isGranted(paused));
    allocator.advance(1);
    assertTrue(allocator.isGranted(paused));
  }

  private static void tell(
      SlotAllocatorFixture allocator, String router, UpstreamUnavailable message) {
    allocator.dispatch(new SlotAllocatorEvent.MessageReceived(router, message));
  }

  private void notice(String upstream, long incarnation, UpstreamNotice notice) {
    router.dispatch(new UpstreamNoticed(entry(upstream, incarnation, 8_000), notice));
  }

  private void activate(List<Upstream> upstreams) {
    router.dispatch(
        new RouterEvent.InstancesActivated(new InstanceList(++version, List.of(), upstreams)));
  }

  private static UpstreamNotice pause(long millis) {
    return new UpstreamNotice(false, OptionalLong.of(millis));
  }

  private static Upstream entry(String name, long incarnation, int port) {
    return new Upstream(name, incarnation, SERVICE, "127.0.0.1", port, "a1", 4, false);
  }
}

package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.identity;
import static dev.agatepier.core.process.DirectRouterFixture.versioned;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.process.RouterEffect.ResumptionDecided;
import dev.agatepier.core.process.RouterEffect.SendToOriginCache;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.testng.annotations.Test;

/** A router that asks origin caches, before one upstream of v1 and one of v2. */
public class StreamOriginRouterTest {

  private static final Upstream OLD = versioned("old1", 1, "a1", "v1");
  private static final Upstream NEW = versioned("new1", 1, "a1", "v2");
  private static final String CACHE = "127.0.0.1";
  private static final String REJECTED = "not-run stream-origin-unknown";

  @Test
  public void lateReplyOfRouterDoesNotEndTheWaitForCaches() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD, NEW);
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    RequestId resumed = resume(router);
    router.advance(301);
    OriginReply unknown = new OriginReply(cacheRequest(router), false, "", false, List.of());
    router.dispatch(new RouterEvent.MessageReceived(identity("r2", "a1"), unknown));
    assertEquals(router.responseTo(resumed), "");
  }

  @Test
  public void lossOfRouterDoesNotEndTheWaitForCaches() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD, NEW);
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    RequestId resumed = resume(router);
    router.advance(301);
    router.dispatch(new RouterEvent.PeerDisconnected(identity("r2", "a1")));
    assertEquals(router.responseTo(resumed), "");
  }

  /** Many routers ask a cache at once after a restart, and its socket drops what does not fit. */
  @Test
  public void originIsFoundAlthoughDatagramsAreLost() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD, NEW);
    resume(router);
    final long lost = cacheRequest(router);
    router.effects.clear();
    router.advance(100);
    assertEquals(cacheRequest(router), lost);
    OriginReply reply = new OriginReply(lost, true, "v1", false, List.of());
    router.dispatch(new RouterEvent.OriginCacheReplied(CACHE, reply));
    router.effects.clear();
    router.advance(100);
    assertTrue(router.effects.stream().noneMatch(SendToOriginCache.class::isInstance));
  }

  /** A datagram may be delivered after the router that asked was replaced. */
  @Test
  public void replyToAnEarlierProcessIsIgnored() {
    DirectRouterFixture earlier = DirectRouterFixture.withOriginCaches(OLD, NEW);
    resume(earlier);
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD, NEW);
    router.now = earlier.now + 1;
    RequestId resumed = resume(router);
    OriginReply reply = new OriginReply(cacheRequest(earlier), true, "v2", false, List.of());
    router.dispatch(new RouterEvent.OriginCacheReplied(CACHE, reply));
    assertEquals(router.responseTo(resumed), "");
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
  }

  /** A stream that began under the longer timeout may come from a version that left since. */
  @Test
  public void shorterTimeoutDoesNotHideAnEarlierVersion() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD);
    Map<String, Set<String>> versions = Map.of(OLD.service(), Set.of("v1"));
    router.dispatch(
        new RouterEvent.SoftwareVersionsRead(
            new SoftwareVersionHistory(versions, SoftwareVersionHistory.UNLIMITED_MILLIS)));
    router.activateRoute(new CallPlan("r", false, true, true, 2, 60_000, 500, 250, 1));
    router.publish(List.of(NEW));
    router.advance(30_000);
    router.activateRoute(RESUMABLE);
    router.dispatch(new RouterEvent.InstancesConfirmed(router.now));
    resume(router);
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
  }

  /** Another version may have come and gone while the router received no lists. */
  @Test
  public void onlyVersionIsNotReliedOnAfterTimeWithoutLists() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD);
    Map<String, Set<String>> versions = Map.of(OLD.service(), Set.of("v1"));
    router.dispatch(
        new RouterEvent.SoftwareVersionsRead(
            new SoftwareVersionHistory(versions, SoftwareVersionHistory.UNLIMITED_MILLIS)));
    router.dispatch(new RouterEvent.InstancesConfirmed(router.now));
    router.advance(10_000);
    router.dispatch(new RouterEvent.InstancesConfirmed(router.now));
    resume(router);
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
  }

  /** The second version may have registered between the read and the call. */
  @Test
  public void readThatBeganBeforeTheCallDoesNotShowTheOnlyVersion() {
    DirectRouterFixture router = withCompleteHistory();
    final long before = router.now;
    router.advance(1);
    resume(router);
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), before));
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), router.now));
    assertTrue(router.effects.stream().anyMatch(ResumptionDecided.class::isInstance));
  }

  /** Timers are due before the replies that waited in the sockets of a stopped process are read. */
  @Test
  public void routerThatStoodStillDoesNotRelyOnItsList() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    resume(router);
    router.advance(3_000);
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD, NEW), router.now));
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
  }

  /** Streams go on at a router that the platform does not answer. */
  @Test
  public void routerThatCannotReadThePlatformAsksOthersToReadIt() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    resume(router);
    router.advance(301);
    router.dispatch(new RouterEvent.UpstreamsReadFailed(router.now));
    final long number = router.sent(SoftwareVersionsRequest.class).getLast().number();
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
    SoftwareVersionsReply reply = new SoftwareVersionsReply(number, true, List.of("v1"));
    router.dispatch(new RouterEvent.MessageReceived(identity("r2", "a1"), reply));
    assertTrue(router.effects.stream().anyMatch(ResumptionDecided.class::isInstance));
  }

  /** A router that stood still has lost its links, and asks nobody. */
  @Test
  public void readAloneDoesNotShowTheOnlyVersionAfterAllLinksWereLost() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    router.dispatch(new RouterEvent.PeerDisconnected(identity("r2", "a1")));
    resume(router);
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), router.now));
    assertTrue(router.effects.stream().noneMatch(ResumptionDecided.class::isInstance));
    assertTrue(router.effects.stream().anyMatch(SendToOriginCache.class::isInstance));
  }

  /** A router that stood still would read the platform and ask for calls that nobody awaits. */
  @Test
  public void callWhoseDeadlineHasPassedIsNotSearchedFor() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    resume(router);
    router.advance(10_000);
    router.advance(1);
    router.advance(1);
    assertTrue(router.effects.stream().noneMatch(RouterEffect.ReadUpstreams.class::isInstance));
    assertTrue(router.effects.stream().noneMatch(SendToOriginCache.class::isInstance));
    assertTrue(router.effects.stream().anyMatch(ResumptionDecided.class::isInstance));
  }

  /** A router that stood still gets its callers' calls before its links are up again. */
  @Test
  public void routerThatConnectsIsAskedForTheOriginsOfHeldCalls() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD, NEW);
    resume(router);
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    final long number = router.sent(OriginRequest.class).getLast().number();
    OriginReply reply = new OriginReply(number, true, "v1", false, List.of());
    router.dispatch(new RouterEvent.MessageReceived(identity("r2", "a1"), reply));
    ResumptionDecided decided =
        router.effects.stream()
            .filter(ResumptionDecided.class::isInstance)
            .map(ResumptionDecided.class::cast)
            .findFirst()
            .orElseThrow();
    assertEquals(decided.source(), OriginSource.PEER);
  }

  /** Each such request makes three routers read the platform, and may end the call early. */
  @Test
  public void lateReplyOfRouterDoesNotCountAsFailedRead() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    resume(router);
    router.advance(301);
    final long number = router.sent(OriginRequest.class).getLast().number();
    OriginReply late = new OriginReply(number, false, "", true, List.of("v1"));
    router.dispatch(new RouterEvent.MessageReceived(identity("r2", "a1"), late));
    assertEquals(router.sent(SoftwareVersionsRequest.class), List.of());
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), router.now));
    assertTrue(router.effects.stream().anyMatch(ResumptionDecided.class::isInstance));
  }

  /** A reply that rests on an older read would be no better than the list of the one who asks. */
  @Test
  public void routerReadsThePlatformBeforeItReplies() {
    DirectRouterFixture router = withCompleteHistory();
    final long before = router.now;
    router.advance(1);
    SoftwareVersionsRequest request = new SoftwareVersionsRequest(7, OLD.service(), 20_000);
    router.dispatch(new RouterEvent.MessageReceived(identity("r2", "a1"), request));
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), before));
    assertEquals(router.sent(SoftwareVersionsReply.class), List.of());
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD, NEW), router.now));
    assertEquals(
        router.sent(SoftwareVersionsReply.class),
        List.of(new SoftwareVersionsReply(7, true, List.of("v1", "v2"))));
  }

  /** The next read has been requested and may succeed, as after an outage of the platform. */
  @Test
  public void failureOfReadThatBeganBeforeTheRequestIsNotItsResult() {
    DirectRouterFixture router = withCompleteHistory();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "a1")));
    resume(router);
    router.advance(301);
    router.dispatch(
        new RouterEvent.MessageReceived(
            identity("r2", "a1"), new SoftwareVersionsRequest(7, OLD.service(), 20_000)));
    router.dispatch(new RouterEvent.UpstreamsReadFailed(router.now - 1_000_000_000));
    assertEquals(router.sent(SoftwareVersionsRequest.class), List.of());
    assertEquals(router.sent(SoftwareVersionsReply.class), List.of());
    router.dispatch(new RouterEvent.UpstreamsRead(List.of(OLD), router.now));
    assertEquals(
        router.sent(SoftwareVersionsReply.class),
        List.of(new SoftwareVersionsReply(7, true, List.of("v1"))));
  }

  /** Returns a router that knows of all upstreams since the beginning, the old one. */
  private static DirectRouterFixture withCompleteHistory() {
    DirectRouterFixture router = DirectRouterFixture.withOriginCaches(OLD);
    router.dispatch(
        new RouterEvent.SoftwareVersionsRead(
            new SoftwareVersionHistory(
                Map.of(OLD.service(), Set.of("v1")), SoftwareVersionHistory.UNLIMITED_MILLIS)));
    router.dispatch(new RouterEvent.InstancesConfirmed(router.now));
    return router;
  }

  private static RequestId resume(DirectRouterFixture router) {
    return router.call(RESUMABLE, "second", OptionalLong.of(1), Optional.of("first"));
  }

  private static long cacheRequest(DirectRouterFixture router) {
    return router.effects.stream()
        .filter(SendToOriginCache.class::isInstance)
        .map(effect -> ((SendToOriginCache) effect).message())
        .filter(OriginRequest.class::isInstance)
        .map(message -> ((OriginRequest) message).number())
        .reduce((one, other) -> other)
        .orElseThrow();
  }
}

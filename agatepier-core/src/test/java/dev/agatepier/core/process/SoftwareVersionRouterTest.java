package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.identity;
import static dev.agatepier.core.process.DirectRouterFixture.versioned;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A router before upstreams of two software versions: old1 and old2 of v1, new1 of v2. */
public class SoftwareVersionRouterTest {

  private static final Upstream OLD1 = versioned("old1", 1, "a1", "v1");
  private static final Upstream OLD2 = versioned("old2", 1, "a1", "v1");
  private static final Upstream NEW1 = versioned("new1", 1, "a1", "v2");
  private static final String BROKEN_OFF = "200 1;unknown no-upstream-of-version";

  private DirectRouterFixture router;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
    router.dispatch(new RouterEvent.PeerConnected(identity("r2", "b1")));
    router.publish(List.of(OLD1, OLD2, NEW1));
  }

  /** Events of two software versions must not be joined within one response. */
  @Test
  public void streamThatBreaksOffIsNotContinuedAtOtherVersion() {
    RequestId request = brokenStream();
    router.grant(request, "new1");
    assertEquals(router.runs(request).size(), 1);
    router.grant(request, "old2");
    assertEquals(router.runs(request).getLast().softwareVersion(), "v1");
    router.startResponse(request, 200);
    router.sendEvent(request, 2);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;2;complete");
  }

  /** Without an event there is nothing that another version could be joined to. */
  @Test
  public void streamWithoutEventIsRetriedAtAnyVersion() {
    RequestId request = router.run(RESUMABLE, "old1");
    router.startResponse(request, 200);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "new1");
    assertEquals(router.runs(request).getLast().upstream().name(), "new1");
  }

  @Test
  public void reportsTheVersionToTheAllocator() {
    RequestId request = router.call(RESUMABLE);
    assertEquals(waitingAt("r1").softwareVersion(), "");
    router.grant(request, "old1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(waitingAt("r1").softwareVersion(), "v1");
  }

  /** A caller must not wait for its deadline, nor get a truncated stream as a complete one. */
  @Test
  public void streamIsBrokenOffAtOnceWhenItsVersionIsGone() {
    RequestId request = router.run(RESUMABLE, "old1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.publish(List.of(NEW1));
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), BROKEN_OFF);
    assertEquals(retryAfterMillis(request), 0);
  }

  @Test
  public void waitingStreamIsBrokenOffWhenItsVersionGoes() {
    RequestId request = brokenStream();
    router.publish(List.of(NEW1));
    assertEquals(router.responseTo(request), BROKEN_OFF);
  }

  @Test
  public void leavingUpstreamDoesNotContinueStreams() {
    RequestId request = brokenStream();
    Upstream leaving =
        new Upstream("old2", 1, OLD2.service(), "127.0.0.1", 8_000, "a1", 4, true, false, "v1");
    router.publish(List.of(leaving, NEW1));
    assertEquals(router.responseTo(request), BROKEN_OFF);
  }

  /** The version serves in another data centre only. */
  @Test
  public void streamMovesToTheDataCentreThatHasItsVersion() {
    RequestId request = brokenStream();
    router.publish(List.of(versioned("old3", 1, "b1", "v1"), NEW1));
    assertEquals(waitingAt("r2").request(), request);
    router.grantFrom("r2", request, "old3");
    assertEquals(router.runs(request).getLast().upstream().name(), "old3");
  }

  /** An allocator with an older list must not exchange messages without end. */
  @Test
  public void grantsAtOtherVersionAreDeclinedAndEndTheStream() {
    RequestId request = brokenStream();
    for (int grant = 0; grant < 4; grant++) {
      assertEquals(router.responseTo(request), "200 1;");
      router.grant(request, "new1");
    }
    assertEquals(router.runs(request).size(), 1);
    assertEquals(router.responseTo(request), BROKEN_OFF);
  }

  /** The upstream was replaced under its name after the attempt was sent. */
  @Test
  public void eventOfUpstreamThatChangedItsVersionIsNotForwarded() {
    RequestId request = brokenStream();
    router.grant(request, "old2");
    router.publish(List.of(OLD1, versioned("old2", 2, "a1", "v2"), NEW1));
    router.startResponse(request, 200);
    router.sendEvent(request, 2);
    assertEquals(router.responseTo(request), "200 1;unknown answer-incomplete");
  }

  /** Without an incarnation an entry that changes its version names another process. */
  @Test
  public void versionThatChangesWithoutIncarnationIsNotForwarded() {
    router.publish(List.of(versioned("old1", 0, "a1", "v1"), versioned("old2", 0, "a1", "v1")));
    RequestId request = brokenStream();
    router.grant(request, "old2");
    router.publish(List.of(versioned("old1", 0, "a1", "v1"), versioned("old2", 0, "a1", "v2")));
    router.sendEvent(request, 2);
    assertEquals(router.responseTo(request), "200 1;unknown answer-incomplete");
  }

  /** It isn't known which version began the stream, so that none could continue it. */
  @Test
  public void streamWhoseUpstreamChangesBeforeItsFirstEventStartsAgain() {
    RequestId request = router.run(RESUMABLE, "old2");
    router.publish(List.of(OLD1, versioned("old2", 2, "a1", "v2"), NEW1));
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    assertEquals(router.responseTo(request), "200 ");
    router.grant(request, "new1");
    assertEquals(router.runs(request).size(), 2);
  }

  /** The entry of the upstream may be behind its process, so that the version isn't known. */
  @Test
  public void streamOfUncertainVersionIsNotContinued() {
    RequestId request = router.call(RESUMABLE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1", new SlotGranted(OLD1.service(), request, "old1")));
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), BROKEN_OFF);
  }

  /** Guards against streams that are never continued since connections to upstreams broke. */
  @Test
  public void streamOfConfirmedUpstreamIsContinuedAtItsVersion() {
    RequestId request = router.call(RESUMABLE);
    router.dispatch(
        new RouterEvent.AllocatorMessageReceived(
            "r1", new SlotGranted(OLD1.service(), request, "old1")));
    assertTrue(router.runs(request).getLast().mayBeReplaced());
    router.dispatch(new RouterEvent.UpstreamConfirmed(router.attempt(request), "v1"));
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    router.grant(request, "old2");
    assertEquals(router.runs(request).getLast().softwareVersion(), "v1");
    assertFalse(router.runs(request).getLast().mayBeReplaced());
  }

  /** The stream comes from the process that the new entry names, as the earlier one has ended. */
  @Test
  public void streamThatRunsWhileItsUpstreamChangesVersionIsNotContinued() {
    RequestId request = router.run(RESUMABLE, "old1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.publish(List.of(versioned("old1", 2, "a1", "v2"), OLD2, NEW1));
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertEquals(router.responseTo(request), BROKEN_OFF);
  }

  /** An upstream that was replaced must not cost a stream that others can continue. */
  @Test
  public void streamThatWasNotSentToReplacedUpstreamGoesOnElsewhere() {
    RequestId request = brokenStream();
    router.grant(request, "old1");
    router.dispatch(
        new RouterEvent.UpstreamNotRun(router.attempt(request), Reason.UPSTREAM_OTHER, false));
    assertEquals(router.stages(request).getLast(), SlotStage.REPLACED);
    router.grant(request, "old2");
    router.startResponse(request, 200);
    router.sendEvent(request, 2);
    router.endResponse(request);
    assertEquals(router.responseTo(request), "200 1;2;complete");
  }

  /** Returns a request whose stream broke off at old1 after its first event. */
  private RequestId brokenStream() {
    RequestId request = router.run(RESUMABLE, "old1");
    router.startResponse(request, 200);
    router.sendEvent(request, 1);
    router.failAttempt(request, Reason.UPSTREAM_DIED);
    assertTrue(router.responseTo(request).equals("200 1;"));
    return request;
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

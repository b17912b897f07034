package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.RESUMABLE;
import static dev.agatepier.core.process.DirectRouterFixture.STREAM;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Requests and prompt parts that crash the upstreams that a router calls itself. */
public class DirectCrashesTest {

  private static final String QUARANTINED = "not-run quarantined";

  private static final PeerIdentity PEER = DirectRouterFixture.identity("r9", "b1");
  private static final Fingerprint DEADLY =
      Fingerprint.ofPart(DirectRouterFixture.SERVICE, new PromptPart("deadly", 10));

  private DirectRouterFixture router;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
  }

  @Test
  public void rejectsRequestsWithPartThatCrashesUpstreams() {
    for (int crash = 0; crash < 3; crash++) {
      crashUpstream("common", "deadly");
    }
    assertEquals(router.responseTo(router.callWithParts(STREAM, "common", "deadly")), QUARANTINED);
    assertEquals(router.responseTo(router.callWithParts(STREAM, "other", "deadly")), QUARANTINED);
  }

  @Test
  public void servesRequestsThatShareOtherPartsWithIt() {
    for (int crash = 0; crash < 3; crash++) {
      crashUpstream("common", "deadly");
      complete(router.callWithParts(STREAM, "common", "sound"));
    }
    assertEquals(complete(router.callWithParts(STREAM, "common", "sound")), "200 complete");
    assertEquals(router.responseTo(router.callWithParts(STREAM, "common", "deadly")), QUARANTINED);
  }

  @Test
  public void declinesSlotOfRequestWhosePartWasQuarantinedMeanwhile() {
    RequestId waiting = router.callWithParts(STREAM, "deadly");
    for (int crash = 0; crash < 3; crash++) {
      crashUpstream("deadly");
    }
    router.grant(waiting, "u2");
    assertEquals(router.responseTo(waiting), QUARANTINED);
    assertFalse(router.stages(waiting).isEmpty());
  }

  @Test
  public void partThatCompletesBetweenCrashesIsSound() {
    for (int crash = 0; crash < 6; crash++) {
      crashUpstream("popular");
      complete(router.callWithParts(STREAM, "popular"));
    }
    assertEquals(complete(router.callWithParts(STREAM, "popular")), "200 complete");
  }

  @Test
  public void failuresOfOneIncarnationCountOnce() {
    for (int failure = 0; failure < 6; failure++) {
      fail(router.callWithParts(STREAM, "part"), "u1");
      router.advance(1_000);
    }
    assertEquals(complete(router.callWithParts(STREAM, "part")), "200 complete");
  }

  @Test
  public void failuresAtTheSameTimeCountOnce() {
    for (int round = 0; round < 2; round++) {
      RequestId first = router.callWithParts(STREAM, "part");
      RequestId second = router.callWithParts(STREAM, "part");
      fail(first, "u1");
      fail(second, "u2");
      router.restartUpstreams();
      router.advance(1_000);
    }
    assertEquals(complete(router.callWithParts(STREAM, "part")), "200 complete");
  }

  @Test
  public void requestsWhoseResponseHasProgressedAreNotSuspected() {
    for (int crash = 0; crash < 4; crash++) {
      RequestId request = router.callWithParts(RESUMABLE, "victim");
      router.grant(request, "u1");
      router.startResponse(request, 200);
      for (int event = 0; event < 3; event++) {
        router.sendEvent(request, event);
      }
      router.failAttempt(request, Reason.ANSWER_INCOMPLETE);
      router.restartUpstreams();
      router.advance(1_000);
    }
    assertEquals(complete(router.callWithParts(STREAM, "victim")), "200 complete");
  }

  @Test
  public void learnsFromOtherRouters() {
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    for (int crash = 1; crash <= 3; crash++) {
      Suspicion suspicion = new Suspicion(DEADLY, "u9", crash, 0, false);
      receive(new DirectCrashReport(List.of(suspicion), List.of()));
      receive(new DirectCrashReport(List.of(suspicion), List.of()));
      router.advance(1_000);
    }
    assertEquals(router.responseTo(router.callWithParts(STREAM, "deadly")), QUARANTINED);
    receive(new DirectCrashReport(List.of(), List.of(DEADLY)));
    assertEquals(complete(router.callWithParts(STREAM, "deadly")), "200 complete");
  }

  @Test
  public void learnsAllAtOnceAfterItsStart() {
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    List<Suspicion> counted = new ArrayList<>();
    for (int crash = 1; crash <= 3; crash++) {
      counted.add(new Suspicion(DEADLY, "u9", crash, 0, false));
    }
    receive(new DirectCrashReport(counted, List.of()));
    assertEquals(router.responseTo(router.callWithParts(STREAM, "deadly")), QUARANTINED);
  }

  @Test
  public void reportsCrashesAndCompletionsToOtherRouters() {
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    crashUpstream("deadly");
    DirectCrashReport crashed = router.sentReports(PEER.instance()).getLast();
    assertTrue(
        crashed.suspicions().contains(new Suspicion(DEADLY, "u1", 1, 0, false)),
        crashed.toString());
    complete(router.callWithParts(STREAM, "deadly"));
    assertEquals(router.sentReports(PEER.instance()).getLast().cleared(), List.of(DEADLY));
  }

  @Test
  public void sendsWhatCountsToRouterThatConnects() {
    crashUpstream("deadly");
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    assertEquals(router.sentReports(PEER.instance()).getLast().suspicions().size(), 2);
  }

  private void receive(DirectCrashReport report) {
    router.dispatch(new RouterEvent.MessageReceived(PEER, report));
  }

  private void crashUpstream(String... parts) {
    fail(router.callWithParts(STREAM, parts), "u1");
    router.restartUpstreams();
    router.advance(1_000);
  }

  private void fail(RequestId request, String upstream) {
    router.grant(request, upstream);
    router.startResponse(request, 200);
    router.failAttempt(request, Reason.ANSWER_INCOMPLETE);
  }

  private String complete(RequestId request) {
    router.grant(request, "u2");
    router.startResponse(request, 200);
    router.endResponse(request);
    return router.responseTo(request);
  }
}

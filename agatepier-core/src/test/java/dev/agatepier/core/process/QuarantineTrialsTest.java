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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which part of the requests that crash upstreams is found to be at fault. */
public class QuarantineTrialsTest {

  private static final String QUARANTINED = "not-run quarantined";
  private static final String COMPLETE = "200 complete";
  private static final PeerIdentity PEER = DirectRouterFixture.identity("r9", "b1");

  private DirectRouterFixture router;

  @BeforeMethod
  public void setUp() {
    router = new DirectRouterFixture();
  }

  @DataProvider
  public Object[][] placesOfDeadlyPart() {
    return new Object[][] {
      {new String[] {"shared", "deadly"}},
      {new String[] {"deadly", "shared"}},
      {new String[] {"shared", "also-shared", "deadly"}},
    };
  }

  /**
   * Guards against sound requests that are refused for the whole quarantine since they share a part
   * with those that crash upstreams, and no request with it runs between the crashes.
   */
  @Test(dataProvider = "placesOfDeadlyPart")
  public void servesSoundRequestsAfterOneTrial(String[] parts) {
    crashUpstreams(3, 0, parts);
    assertEquals(router.responseTo(router.callWithParts(STREAM, "shared", "x")), QUARANTINED);
    router.advance(3_000);
    RequestId trial = router.callWithParts(STREAM, "shared", "x");
    router.grant(trial, "u2");
    assertEquals(router.responseTo(router.callWithParts(STREAM, "shared", "y")), QUARANTINED);
    complete(trial);
    for (int call = 0; call < 3; call++) {
      assertEquals(run(router.callWithParts(STREAM, "shared", "z")), COMPLETE);
    }
    assertEquals(router.responseTo(router.callWithParts(STREAM, parts)), QUARANTINED);
  }

  /** Guards against a deadly part that is tried again and again in place of its companion. */
  @Test
  public void partThatCrashesItsTrialIsNotTriedSoon() {
    crashUpstreams(3, 0, "shared", "deadly");
    router.advance(3_000);
    crashUpstreams(1, 0, "other", "deadly");
    for (int second = 0; second < 50; second++) {
      router.advance(1_000);
      assertEquals(router.responseTo(router.callWithParts(STREAM, "deadly")), QUARANTINED);
    }
    assertEquals(run(router.callWithParts(STREAM, "shared", "x")), COMPLETE);
  }

  /** Guards against a sound part that several unrelated crashes quarantine for ten minutes. */
  @Test
  public void triesPartWithoutOtherExplanationAfterOneMinute() {
    crashUpstreams(3, 0, "unlucky");
    router.advance(50_000);
    assertEquals(router.responseTo(router.callWithParts(STREAM, "unlucky")), QUARANTINED);
    router.advance(10_000);
    assertEquals(run(router.callWithParts(STREAM, "unlucky")), COMPLETE);
  }

  /** Guards against a part that crashes upstreams when they have sent some events. */
  @Test(dataProvider = "progress")
  public void quarantinesPartThatCrashesUpstreamsLate(int events) {
    crashUpstreams(4, events, "shared", "deadly");
    assertFalse(router.responseTo(router.callWithParts(STREAM, "deadly")).contains(QUARANTINED));
    crashUpstreams(1, events, "shared", "deadly");
    assertEquals(router.responseTo(router.callWithParts(STREAM, "deadly")), QUARANTINED);
    router.advance(3_000);
    assertEquals(run(router.callWithParts(STREAM, "shared")), COMPLETE);
    assertEquals(router.responseTo(router.callWithParts(STREAM, "shared", "deadly")), QUARANTINED);
  }

  /**
   * Guards against a part that crashes upstreams so late that the rest of its responses is sound.
   */
  @Test
  public void restOfResponseAfterCrashClearsNothing() {
    for (int crash = 0; crash < 5; crash++) {
      RequestId request = start(9, "u1", "shared", "deadly");
      router.failAttempt(request, Reason.ANSWER_INCOMPLETE);
      router.grant(request, "u2");
      router.startResponse(request, 200);
      router.sendEvent(request, 10);
      router.endResponse(request);
      router.restartUpstreams();
      router.advance(1_000);
    }
    assertEquals(router.responseTo(router.callWithParts(STREAM, "deadly")), QUARANTINED);
  }

  @DataProvider
  public Object[][] progress() {
    return new Object[][] {{2}, {3}, {9}};
  }

  /**
   * Guards against parts that are quarantined because upstreams which run many streams end for
   * other reasons, while none of the streams completes.
   */
  @Test
  public void endsOfUpstreamsWithManyStreamsQuarantineNothing() {
    List<RequestId> ahead = new ArrayList<>();
    for (int stream = 0; stream < 10; stream++) {
      ahead.add(start(20, "u2", "common"));
    }
    for (int crash = 0; crash < 8; crash++) {
      List<RequestId> victims = new ArrayList<>();
      for (int stream = 0; stream < 30; stream++) {
        victims.add(start(stream % 15, "u1", "common"));
      }
      victims.forEach(victim -> router.failAttempt(victim, Reason.ANSWER_INCOMPLETE));
      router.restartUpstreams();
      router.advance(500);
    }
    assertEquals(run(router.callWithParts(STREAM, "common")), COMPLETE);
    ahead.forEach(router::endResponse);
  }

  /** Guards against one trial at each router. */
  @Test
  public void waitsForTrialOfOtherRouter() {
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    crashUpstreams(3, 0, "shared", "deadly");
    router.advance(3_000);
    Fingerprint shared =
        Fingerprint.ofPart(DirectRouterFixture.SERVICE, new PromptPart("shared", 10));
    receive(new DirectCrashReport(List.of(), List.of(), List.of(), List.of(shared)));
    assertEquals(router.responseTo(router.callWithParts(STREAM, "shared")), QUARANTINED);
    router.advance(2_000);
    RequestId trial = router.callWithParts(STREAM, "shared");
    router.grant(trial, "u2");
    assertEquals(router.sentReports(PEER.instance()).getLast().tried(), List.of(shared));
  }

  /** Guards against a router that starts again and does not know of late crashes. */
  @Test
  public void lateCrashesCountAtRouterThatConnects() {
    crashUpstreams(5, 3, "shared", "deadly");
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    DirectCrashReport sent = router.sentReports(PEER.instance()).getLast();
    assertTrue(sent.suspicions().isEmpty());
    List<Suspicion> late = sent.late();
    setUp();
    router.dispatch(new RouterEvent.PeerConnected(PEER));
    receive(new DirectCrashReport(List.of(), late, List.of(), List.of()));
    assertEquals(router.responseTo(router.callWithParts(STREAM, "shared", "deadly")), QUARANTINED);
    router.advance(3_000);
    assertEquals(run(router.callWithParts(STREAM, "shared")), COMPLETE);
  }

  private void receive(DirectCrashReport report) {
    router.dispatch(new RouterEvent.MessageReceived(PEER, report));
  }

  /** Crashes upstreams one after the other, after some events of the response. */
  private void crashUpstreams(int count, int events, String... parts) {
    for (int crash = 0; crash < count; crash++) {
      router.failAttempt(start(events, "u1", parts), Reason.ANSWER_INCOMPLETE);
      router.restartUpstreams();
      router.advance(1_000);
    }
  }

  private RequestId start(int events, String upstream, String... parts) {
    RequestId request = router.callWithParts(RESUMABLE, parts);
    router.grant(request, upstream);
    router.startResponse(request, 200);
    for (int event = 1; event <= events; event++) {
      router.sendEvent(request, event);
    }
    return request;
  }

  private String run(RequestId request) {
    router.grant(request, "u2");
    complete(request);
    return router.responseTo(request);
  }

  private void complete(RequestId request) {
    router.startResponse(request, 200);
    router.endResponse(request);
  }
}

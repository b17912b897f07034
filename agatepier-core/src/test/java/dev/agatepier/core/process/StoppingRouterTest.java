package dev.agatepier.core.process;

import static dev.agatepier.core.process.DirectRouterFixture.SAFE;
import static dev.agatepier.core.process.DirectRouterFixture.STREAM;
import static dev.agatepier.core.process.DirectRouterFixture.UNSAFE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What becomes of the requests of a router between the announcement and the end of its stop. */
public class StoppingRouterTest {

  private static final long MILLI = 1_000_000;
  private static final int STOP_MILLIS = 7_300;
  private static final int RUN_MILLIS = 1_000;
  private static final int TICK_MILLIS = 25;

  private DirectRouterFixture router;

  @BeforeMethod
  public void createRouter() {
    router = new DirectRouterFixture();
  }

  /** Guards against waiting requests that lose their connection at the end of a stop (LOST). */
  @Test
  public void waitingRequestIsRejectedBeforeTheStopEnds() {
    RequestId waiting = router.call(UNSAFE);
    announceStop();
    advance(STOP_MILLIS - 1);
    assertEquals(router.responseTo(waiting), "");
    advance(1);
    assertEquals(router.responseTo(waiting), "not-run draining");
    assertTrue(failure(waiting).retryAfterMillis() > 0, "the caller must be told to come back");
  }

  @Test
  public void waitingRequestIsRejectedOnceAnAttemptWouldNotEndInTime() {
    observe(UNSAFE, 0, RUN_MILLIS);
    RequestId waiting = router.call(UNSAFE);
    announceStop();
    advance(STOP_MILLIS - RUN_MILLIS - TICK_MILLIS);
    assertEquals(router.responseTo(waiting), "");
    advance(TICK_MILLIS);
    assertEquals(router.responseTo(waiting), "not-run draining");
  }

  /** The longest waiting get the next slots; the others can wait at another router. */
  @Test
  public void requestsThatWouldNotGetSlotsInTimeAreRejectedAtOnce() {
    observe(UNSAFE, 8_500, RUN_MILLIS);
    List<RequestId> waiting = new ArrayList<>();
    for (int second = 0; second < 5; second++) {
      waiting.add(router.call(UNSAFE));
      advance(1_000);
    }
    announceStop();
    List<String> responses = waiting.stream().map(router::responseTo).toList();
    String rejected = "not-run draining";
    assertEquals(responses, List.of("", "", "", rejected, rejected));
    assertEquals(router.responseTo(router.call(UNSAFE)), rejected);
    router.grant(waiting.getFirst(), "u1");
    assertEquals(router.runs(waiting.getFirst()).size(), 1);
  }

  @Test
  public void arrivalIsServedOnlyIfItEndsInTime() {
    observe(UNSAFE, 0, RUN_MILLIS);
    announceStop();
    advance(STOP_MILLIS - RUN_MILLIS - TICK_MILLIS);
    RequestId early = router.run(UNSAFE, "u1");
    advance(2 * TICK_MILLIS);
    RequestId late = router.call(UNSAFE);
    assertEquals(router.runs(early).size(), 1);
    assertEquals(router.responseTo(late), "not-run draining");
  }

  @Test
  public void timeOfAnAttemptGrowsWithItsPrompt() {
    RequestId first = router.callWithParts(STREAM);
    router.grant(first, "u1");
    router.startResponse(first, 200);
    advance(RUN_MILLIS);
    router.endResponse(first);
    RequestId small = router.callWithParts(STREAM);
    RequestId large = router.callWithParts(STREAM, "a", "b", "c", "d", "e", "f", "g");
    announceStop();
    advance(STOP_MILLIS - 2 * RUN_MILLIS);
    assertEquals(router.responseTo(small), "");
    assertEquals(router.responseTo(large), "not-run draining");
  }

  @Test
  public void requestWithoutResponseFailsBeforeTheProcessEnds() {
    RequestId running = router.run(UNSAFE, "u1");
    announceStop();
    advance(STOP_MILLIS);
    assertTrue(
        router.effects.contains(new RouterEffect.CancelAttempt(router.attempt(running))),
        "the attempt must be withdrawn");
    router.failAttempt(running, Reason.WITHDRAWN);
    assertEquals(router.responseTo(running), "unknown draining");
  }

  /** The attempt had not been written yet, so that the caller may send the request again. */
  @Test
  public void requestWithdrawnBeforeItWasSentIsRejected() {
    RequestId running = router.run(UNSAFE, "u1");
    announceStop();
    advance(STOP_MILLIS);
    router.reportNotRun(running, Reason.WITHDRAWN);
    assertEquals(router.responseTo(running), "not-run draining");
    assertTrue(failure(running).retryAfterMillis() > 0, "the caller must be told to come back");
  }

  @Test
  public void responseThatHasStartedGoesOn() {
    RequestId running = router.run(STREAM, "u1");
    router.startResponse(running, 200);
    router.sendEvent(running, 1);
    announceStop();
    advance(STOP_MILLIS + TICK_MILLIS);
    assertFalse(
        router.effects.contains(new RouterEffect.CancelAttempt(router.attempt(running))),
        "the attempt must not be withdrawn");
    router.sendEvent(running, 2);
    router.endResponse(running);
    assertEquals(router.responseTo(running), "200 1;2;complete");
  }

  @Test
  public void failedAttemptIsNotRepeatedWithoutTimeForIt() {
    observe(SAFE, 0, RUN_MILLIS);
    RequestId running = router.run(SAFE, "u1");
    announceStop();
    advance(STOP_MILLIS - RUN_MILLIS + TICK_MILLIS);
    router.failAttempt(running, Reason.UPSTREAM_DIED);
    advance(TICK_MILLIS);
    assertEquals(router.responseTo(running), "unknown draining");
  }

  /** Deadlines go before the end of the stop. */
  @Test
  public void deadlineWithinTheStopIsKept() {
    RequestId waiting = router.call(UNSAFE);
    advance(5_000);
    announceStop();
    advance(5_000);
    assertEquals(router.responseTo(waiting), "not-run deadline");
  }

  private void announceStop() {
    router.dispatch(new RouterEvent.StopAnnounced(router.now + STOP_MILLIS * MILLI));
  }

  /** Lets the router see requests that wait and run for the given times. */
  private void observe(CallPlan plan, int waitMillis, int runMillis) {
    for (int index = 0; index < 100; index++) {
      RequestId request = router.call(plan);
      advance(waitMillis);
      router.grant(request, "u1");
      advance(runMillis);
      router.startResponse(request, 200, false);
      router.endResponse(request);
    }
  }

  private FailRequest failure(RequestId request) {
    return router.effects.stream()
        .filter(FailRequest.class::isInstance)
        .map(FailRequest.class::cast)
        .filter(failed -> failed.request().equals(request))
        .findFirst()
        .orElseThrow();
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += TICK_MILLIS) {
      router.advance(Math.min(TICK_MILLIS, millis - passed));
    }
  }
}

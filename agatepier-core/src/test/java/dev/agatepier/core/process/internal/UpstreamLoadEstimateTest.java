package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.request.UpstreamLoadReport;
import java.util.OptionalInt;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UpstreamLoadEstimateTest {

  private static final long MILLI = 1_000_000;

  private UpstreamLoadEstimate estimate;
  private long now;

  @BeforeMethod
  public void setUp() {
    estimate = new UpstreamLoadEstimate();
    now = 5_000 * MILLI;
  }

  /** Guards against own requests, granted after the upstream stated its load, counted twice. */
  @Test
  public void otherLoadIsWhatOwnRequestsAtThatTimeDoNotExplain() {
    estimate.recordOwn(4, 2, now);
    now += 50 * MILLI;
    estimate.recordOwn(9, 7, now);
    state(10, 3, 100, 20);
    assertEquals(estimate.otherRequests(now - 20 * MILLI), 9.0, 0.001);
    assertEquals(estimate.otherBacklogMillis(50, now), 30.0, 0.001);
  }

  /** Guards against a statement whose weight does not fall with its age. */
  @Test
  public void oldStatementCountsForLittle() {
    state(10, 0, 100, 0);
    assertTrue(estimate.otherRequests(now + 300 * MILLI) > 7);
    assertTrue(estimate.otherRequests(now + 3_000 * MILLI) < 1);
  }

  /** Guards against an older statement that replaces a newer one, by way of a slower router. */
  @Test
  public void statementsThatArriveOutOfOrderAreIgnored() {
    state(2, 0, 100, 5);
    state(30, 0, 100, 40);
    assertEquals(estimate.otherRequests(now - 5 * MILLI), 2.0, 0.001);
  }

  /** Guards against a choice that follows a figure which changes many times a second. */
  @Test
  public void paceThatAlternatesIsSmoothed() {
    for (int round = 0; round < 100; round++) {
      repeat(100, 20);
      repeat(250, 20);
      assertTrue(round < 20 || Math.abs(estimate.paceFactor(now) - 1.75) < 0.1, "round " + round);
    }
  }

  /**
   * Guards against an engine that other programs have slowed for half a second and that is chosen.
   */
  @Test
  public void paceFollowsHalfOneSecond() {
    repeat(100, 3_000);
    repeat(250, 500);
    assertTrue(estimate.paceFactor(now) > 2, "pace " + estimate.paceFactor(now));
  }

  /** Guards against a slow machine that looks like a usual one once it is not heard of. */
  @Test
  public void paceReturnsToItsAverageNotToTheUsualOne() {
    repeat(170, 20_000);
    repeat(425, 500);
    assertEquals(estimate.paceFactor(now + 8_000 * MILLI), 1.74, 0.05);
  }

  /** Guards against streams whose pauses exceed the gap because too many run beside each other. */
  @Test
  public void runningLimitFollowsTheTimeOfOutputTokens() {
    assertEquals(estimate.runningLimit(20), Integer.MAX_VALUE);
    estimate.recordOutput(30, 24);
    assertEquals(estimate.runningLimit(20), 16);
    assertEquals(estimate.runningLimit(30), Integer.MAX_VALUE);
  }

  /** States a pace each 20 ms. */
  private void repeat(int pacePercent, int millis) {
    for (int elapsed = 0; elapsed < millis; elapsed += 20) {
      now += 20 * MILLI;
      state(0, 0, pacePercent, 0);
    }
  }

  private void state(int running, int waiting, int pacePercent, long ageMillis) {
    UpstreamLoadReport report =
        new UpstreamLoadReport(running, waiting, 64, OptionalInt.of(pacePercent));
    estimate.recordStated(new ReceivedLoad(report, ageMillis), now);
  }
}

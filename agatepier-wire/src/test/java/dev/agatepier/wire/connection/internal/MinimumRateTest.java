package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks a transfer each half second, as a port does. */
public class MinimumRateTest {

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private MinimumRate rate;
  private long nowNanos;
  private long bytes;

  @BeforeMethod
  public void startTransfer() {
    nowNanos = 0;
    bytes = 0;
    rate = new MinimumRate(10_000, 1_024);
    rate.start(nowNanos, bytes);
  }

  /** Guards against callers that hold a connection with one byte a second. */
  @Test
  public void findsTransferBelowTheMinimumAfterThePeriod() {
    assertFalse(tooSlowWithin(19, 1), "within the period");
    assertTrue(tooSlowWithin(1, 1), "after the period");
  }

  /** Guards against the end of a transfer that is slow but above the minimum. */
  @Test
  public void acceptsTransferAtTheMinimum() {
    assertFalse(tooSlowWithin(200, 512));
  }

  /** Guards against the end of transfers that were not read while the process was suspended. */
  @Test
  public void ignoresTimeInWhichTheProcessWasSuspended() {
    nowNanos += TimeUnit.SECONDS.toNanos(60);
    assertFalse(tooSlowWithin(19, 0));
  }

  /** Guards against the end of a steady transfer that the socket reports in large steps. */
  @Test
  public void allowsForBytesThatAreNotReportedYet() {
    for (int second = 1; second <= 300; second++) {
      nowNanos += TimeUnit.SECONDS.toNanos(1);
      bytes += second % 60 == 0 ? 90_000 : 0;
      assertFalse(rate.isTooSlow(nowNanos, bytes, 90_000), "after " + second + " s");
    }
  }

  private boolean tooSlowWithin(int steps, long bytesPerStep) {
    for (int step = 0; step < steps; step++) {
      nowNanos += STEP_NANOS;
      bytes += bytesPerStep;
      if (rate.isTooSlow(nowNanos, bytes, 0)) {
        return true;
      }
    }
    return false;
  }
}

package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Long runs of prefill stretch the gaps of streams at slow engines. */
public class PrefillRunLimitTest {

  private static final long MILLI = 1_000_000;

  /** Without a gap of a route nothing must be delayed. */
  @Test
  public void permitsEveryRunWithoutAllowedGap() {
    PrefillRunLimit limit = new PrefillRunLimit();
    limit.recordLongestGap(10_000);
    assertTrue(limit.permitsExtension(60_000, 5 * MILLI));
    assertFalse(limit.isExceededBy(60_000));
  }

  /** The time since the last break counts, not only what is still to be done. */
  @Test
  public void countsTheWholeRun() {
    PrefillRunLimit limit = new PrefillRunLimit();
    limit.setAllowedGap(400);
    limit.recordRunStarted(0);
    assertTrue(limit.permitsExtension(200, 100 * MILLI));
    assertFalse(limit.permitsExtension(200, 150 * MILLI));
    limit.recordRunStarted(150 * MILLI);
    assertTrue(limit.permitsExtension(200, 150 * MILLI));
  }

  /** A slow engine, whose streams exceed their gaps, gets shorter runs than a fast one. */
  @Test
  public void followsTheObservedGaps() {
    PrefillRunLimit slow = new PrefillRunLimit();
    slow.setAllowedGap(400);
    PrefillRunLimit fast = new PrefillRunLimit();
    fast.setAllowedGap(400);
    for (int stream = 0; stream < 20; stream++) {
      slow.recordLongestGap(450);
      fast.recordLongestGap(200);
    }
    assertTrue(slow.isExceededBy(120));
    assertFalse(slow.isExceededBy(90), "some work must remain possible");
    assertFalse(fast.isExceededBy(350));
  }
}

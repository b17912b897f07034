package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdaptiveSlotsTest {
  private static final int WINDOW = 100;

  private static void recordWindows(AdaptiveSlots slots, int count, int slowGaps, boolean inUse) {
    for (int gap = 0; gap < count * WINDOW; gap++) {
      slots.onTokenGap(gap % WINDOW < slowGaps ? 40 : 20, inUse);
    }
  }

  @DataProvider
  public static Object[][] windows() {
    return new Object[][] {
      {3, 0, true, 16}, {9, 0, true, 20}, {3, 0, false, 2}, {3, 5, true, 16}, {3, 6, true, 2},
    };
  }

  @Test(dataProvider = "windows")
  public void followsShareOfSlowGaps(int count, int slowGaps, boolean inUse, int expected) {
    AdaptiveSlots slots = new AdaptiveSlots(2, 20, 31);
    recordWindows(slots, count, slowGaps, inUse);
    assertEquals(slots.slots(), expected);
  }

  @Test
  public void growsByOneAfterFirstDecrease() {
    AdaptiveSlots slots = new AdaptiveSlots(2, 100, 31);
    recordWindows(slots, 4, 0, true);
    recordWindows(slots, 1, 50, true);
    assertEquals(slots.slots(), 25);
    recordWindows(slots, 2, 0, true);
    assertEquals(slots.slots(), 27);
  }
}

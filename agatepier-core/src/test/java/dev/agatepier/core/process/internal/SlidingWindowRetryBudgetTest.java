package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class SlidingWindowRetryBudgetTest {

  private static final long WINDOW = 10_000;

  @Test
  public void noWindowExceedsTheShareAndTheSlack() {
    SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(WINDOW);
    long[] taken = new long[4_000];
    int count = 0;
    for (long now = 0; now < 40_000; now += 100) {
      budget.recordRequest(now);
      for (int attempt = 0; attempt < 3; attempt++) {
        if (budget.tryAcquire(0.2, 5, now)) {
          taken[count++] = now;
        }
      }
    }
    for (int first = 0; first < count; first++) {
      int inside = 0;
      for (int other = first; other < count && taken[other] < taken[first] + WINDOW; other++) {
        inside++;
      }
      assertTrue(
          inside <= 0.2 * 101 + 5,
          inside + " retries in the window that starts at " + taken[first]);
    }
    assertTrue(count > 40, "the budget must be used");
  }

  @Test
  public void refusesRetriesWithoutRequestsAndSlack() {
    assertFalse(new SlidingWindowRetryBudget(WINDOW).tryAcquire(0.2, 0.5, 0));
  }
}

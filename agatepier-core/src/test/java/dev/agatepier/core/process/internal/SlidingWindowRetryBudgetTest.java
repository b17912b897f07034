package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class SlidingWindowRetryBudgetTest {

  private static final long WINDOW = 10_000;

  @Test
  public void noWindowHoldsMoreThanItsShareAndTheSlack() {
    SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(WINDOW);
    long[] taken = new long[4_000];
    int count = 0;
    for (long now = 0; now < 40_000; now += 100) {
      budget.recordRequest(now);
      for (int wish = 0; wish < 3; wish++) {
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
      assertTrue(inside <= 0.2 * 101 + 5, inside + " retries from " + taken[first]);
    }
    assertTrue(count > 40, "the budget is used");
  }

  @Test
  public void nothingToSpareWithoutRequestsAndSlack() {
    assertFalse(new SlidingWindowRetryBudget(WINDOW).tryAcquire(0.2, 0.5, 0));
  }
}

package dev.agatepier.wire.request.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class BodyBudgetTest {

  private final BodyBudget budget = new BodyBudget(100, 10);

  @Test
  public void oneWorkspaceLeavesRoomForOthers() {
    assertTrue(budget.tryReserve("flooder", 25));
    assertFalse(budget.tryReserve("flooder", 1), "a quarter is the most for one workspace");
    assertTrue(budget.tryReserve("quartet", 20));
    assertEquals(budget.heldBytes(), 45);
    budget.release("flooder", 25);
    assertTrue(budget.tryReserve("flooder", 25));
    budget.release("flooder", 25);
    budget.release("quartet", 20);
    assertEquals(budget.heldBytes(), 0);
  }
}

package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MemoryBudgetTest {

  private static final long ORDINARY_BYTES = 72_000;
  private static final long LARGE_BYTES = 4_194_304;

  private final List<String> evicted = new ArrayList<>();
  private long nowNanos;
  private MemoryBudget budget;

  /** A holder whose caller made progress at a given time. */
  private record FakeHolder(
      String name,
      String address,
      String workspace,
      boolean evictable,
      long progressNanos,
      List<String> evicted)
      implements MemoryBudget.Holder {
    @Override
    public void evict() {
      evicted.add(name);
    }
  }

  @BeforeMethod
  public void createBudget() {
    evicted.clear();
    nowNanos = 10_000_000_000L;
    budget = new MemoryBudget(MemoryBudget.defaultBytes(96 << 20, 64 << 20), () -> nowNanos);
  }

  /** Guards against limits that ordinary load meets: one workspace behind one address. */
  @Test
  public void admitsHundredsOfOrdinaryRequestsAtOnce() {
    for (int number = 0; number < 400; number++) {
      assertTrue(admit("r" + number, "one", "one", ORDINARY_BYTES), "request " + number);
    }
  }

  /** Guards against a crowd that takes the memory of other callers. */
  @Test
  public void largeGroupTakesFromItsOwnShare() {
    int admitted = 0;
    while (admit("c" + admitted, "crowd", "crowd", LARGE_BYTES)) {
      admitted++;
    }
    assertEquals(admitted, 4, "half of the budget");
    assertTrue(admit("large", "other", "other", LARGE_BYTES));
    assertTrue(admit("ordinary", "other", "other", ORDINARY_BYTES));
    for (int number = 0; admit("s" + number, "crowd", "crowd", ORDINARY_BYTES); number++) {}
    assertTrue(admit("ordinary of one address", "crowd", "other", ORDINARY_BYTES));
  }

  /** Guards against a load balancer, whose address is that of all callers, as one caller. */
  @Test
  public void largeGroupBehindLoadBalancerLeavesRoomToOtherWorkspaces() {
    for (int number = 0; admit("c" + number, "balancer", "crowd", LARGE_BYTES); number++) {}
    assertTrue(admit("large", "balancer", "other", LARGE_BYTES));
  }

  /** Guards against the eviction of those that hold little or have just moved. */
  @Test
  public void evictsWhoHoldsMostForLongestWithoutProgress() {
    hold("idle and small", true, 0, 10_000);
    hold("moving and large", true, nowNanos, 30_000_000);
    hold("waits for the fleet", false, 0, 1_000_000);
    hold("idle and large", true, 0, 7_000_000);
    hold("last", true, nowNanos, 3_000_000);
    assertEquals(evicted, List.of("idle and large"));
  }

  /** Guards against responses that wait for memory that is never returned. */
  @Test
  public void relievesWhoeverIsIdleForResponsesThatWait() {
    hold("idle", true, 0, 6_000_000);
    hold("moving", true, nowNanos, 25_000_000);
    assertTrue(budget.isScarce());
    budget.relieve();
    assertEquals(evicted, List.of("idle"));
    assertFalse(budget.isScarce());
  }

  private boolean admit(String name, String address, String workspace, long bytes) {
    FakeHolder holder = new FakeHolder(name, address, workspace, false, nowNanos, evicted);
    boolean admitted = budget.admits(holder, bytes);
    if (admitted) {
      budget.set(holder, bytes);
    }
    return admitted;
  }

  private void hold(String name, boolean evictable, long progressNanos, long bytes) {
    budget.set(new FakeHolder(name, name, name, evictable, progressNanos, evicted), bytes);
  }
}

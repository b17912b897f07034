package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import dev.agatepier.core.process.FairPosition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkspaceLedgerTest {

  private static WorkspaceLedger ledger(String order) {
    WorkspaceLedger ledger = new WorkspaceLedger(FairOrder.byName(order), 1_000);
    ledger.setDemand("early", 1, 10);
    ledger.setDemand("ahead", 1, 5);
    ledger.charge("early", 10);
    ledger.charge("ahead", 20);
    return ledger;
  }

  @DataProvider
  public static Object[][] orders() {
    return new Object[][] {
      {"virtual-service", "ahead"}, {"local-service", "early"}, {"first-come", "ahead"},
    };
  }

  @Test(dataProvider = "orders")
  public void picksByOrder(String order, String expected) {
    WorkspaceLedger ledger = ledger(order);
    ledger.chargeFleet("early", 100);
    assertEquals(ledger.next().orElseThrow().name(), expected);
  }

  @Test
  public void raisesNewWorkspaceToMinimumAndKeepsHigherVirtualService() {
    WorkspaceLedger ledger = ledger("virtual-service");
    ledger.setDemand("newcomer", 1, 50);
    assertEquals(ledger.account("newcomer").virtualService(), 10.0);
    ledger.setDemand("ahead", 0, 0);
    ledger.setDemand("ahead", 1, 60);
    assertEquals(ledger.account("ahead").virtualService(), 20.0);
  }

  /** A third workspace that was served alone says nothing about the two that compete now. */
  @Test
  public void raisesNewWorkspaceToLeastThatHoldsSlotIfNobodyWaits() {
    WorkspaceLedger ledger = new WorkspaceLedger(FairOrder.byName("virtual-service"), 1_000);
    ledger.charge("steady", 100);
    ledger.addInFlight("steady", 1);
    ledger.charge("alone", 5_000);
    ledger.addInFlight("alone", 1);
    ledger.setDemand("newcomer", 1, 50);
    assertEquals(ledger.account("newcomer").virtualService(), 100.0);
  }

  @Test
  public void raisesNewWorkspaceToHighestServedIfNoneIsActive() {
    WorkspaceLedger ledger = new WorkspaceLedger(FairOrder.byName("virtual-service"), 1_000);
    ledger.charge("alone", 5_000);
    ledger.addInFlight("alone", 1);
    ledger.addInFlight("alone", -1);
    ledger.setDemand("newcomer", 1, 50);
    assertEquals(ledger.account("newcomer").virtualService(), 5_000.0);
  }

  @Test
  public void limitsCatchUpOfWorkspaceWhoseDemandWasLost() {
    WorkspaceLedger ledger = ledger("virtual-service");
    ledger.setDemand("early", 0, 0);
    ledger.markDemandLost("early");
    ledger.charge("ahead", 5_000);
    ledger.setDemand("early", 1, 60);
    assertEquals(ledger.account("early").virtualService(), 4_020.0);
    ledger.setDemand("early", 0, 0);
    ledger.setDemand("early", 1, 70);
    assertEquals(
        ledger.account("early").virtualService(), 5_020.0, "its demand was not lost with a link");
  }

  @Test
  public void decaysOldCost() {
    WorkspaceLedger ledger = ledger("virtual-service");
    ledger.decay(Math.log(2));
    assertEquals(ledger.account("ahead").virtualService(), 10.0, 1e-9);
    assertEquals(ledger.account("early").virtualService(), 5.0, 1e-9);
    assertEquals(ledger.next().orElseThrow().name(), "early");
    ledger.charge("early", 6);
    assertEquals(ledger.next().orElseThrow().name(), "ahead");
  }

  @Test
  public void correctsChargeAsItHasDecayed() {
    WorkspaceLedger ledger = ledger("virtual-service");
    double exponent = ledger.decayExponent();
    ledger.charge("early", 80);
    ledger.decay(Math.log(2));
    ledger.correct("early", -80, exponent);
    assertEquals(ledger.account("early").virtualService(), 5.0, 1e-9);
  }

  /**
   * A workspace that waits unserved is set back less and less, but never precedes the others; one
   * that is served elsewhere keeps its place.
   */
  @Test
  public void limitsTimeWithoutService() {
    WorkspaceLedger ledger = new WorkspaceLedger(FairOrder.byName("virtual-service"), 1_000_000);
    ledger.setDemand("least", 1, 10);
    ledger.setDemand("unserved", 1, 10);
    ledger.setDemand("elsewhere", 1, 10);
    ledger.charge("unserved", 1_000);
    ledger.charge("elsewhere", 1_000);
    ledger.charge("least", 10);
    for (int step = 0; step < 10; step++) {
      ledger.decay(Math.log(2) / 10);
      ledger.chargeFleet("elsewhere", 1_000 * (1 - Math.exp(-Math.log(2) / 10)));
      ledger.limitUnservedTime();
    }
    assertEquals(ledger.account("unserved").virtualService(), 4 * 1_000 / 16.0, 1e-6);
    assertEquals(ledger.account("elsewhere").virtualService(), 1_000, 1);
    ledger.charge("least", 100);
    ledger.decay(Math.log(2));
    ledger.limitUnservedTime();
    assertEquals(
        ledger.account("unserved").virtualService(), ledger.account("least").virtualService());
  }

  @Test
  public void reportsPositionInFairOrder() {
    WorkspaceLedger ledger = ledger("virtual-service");
    assertEquals(ledger.position("ahead"), new FairPosition("ahead", 20, 10, 2));
    ledger.setDemand("early", 0, 0);
    ledger.setDemand("ahead", 0, 0);
    assertEquals(ledger.position("ahead"), new FairPosition("ahead", 20, 0, 0));
  }

  @Test
  public void breaksTiesByOldestWaitThenName() {
    WorkspaceLedger ledger = new WorkspaceLedger(FairOrder.byName("virtual-service"), 1_000);
    ledger.setDemand("c", 1, 10);
    ledger.setDemand("b", 1, 10);
    assertEquals(ledger.next().orElseThrow().name(), "b");
    ledger.setDemand("c", 1, 9);
    assertEquals(ledger.next().orElseThrow().name(), "c");
  }

  @Test
  public void rejectsUnknownOrder() {
    expectThrows(IllegalArgumentException.class, () -> FairOrder.byName("fifo"));
  }
}

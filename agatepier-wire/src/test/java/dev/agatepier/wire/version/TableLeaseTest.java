package dev.agatepier.wire.version;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.version.ReadTimestamp;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TableLeaseTest {

  private static final long MILLI = 1_000_000;

  private long nanos;
  private long wallMillis;
  private TableLease lease;

  @BeforeMethod
  public void createLease() {
    nanos = 77 * MILLI;
    wallMillis = 1_000_000;
    lease = new TableLease(5_000, () -> nanos, () -> wallMillis);
  }

  @Test
  public void holdsForItsTimeFromBeforeTheRead() {
    assertFalse(lease.isValid(), "nothing was confirmed");
    confirm();
    pass(4_999, 4_999);
    assertTrue(lease.isValid());
    pass(1, 1);
    assertFalse(lease.isValid());
    confirm();
    assertTrue(lease.isValid());
  }

  @Test
  public void endsWhenTheInstanceWasSuspended() {
    confirm();
    pass(100, 3_000);
    assertFalse(lease.isValid(), "the steady clock stood still");
    confirm();
    assertTrue(lease.isValid());
  }

  @Test
  public void survivesTimeOfDayThatJumpsBack() {
    confirm();
    pass(100, -2_000);
    assertTrue(lease.isValid());
    pass(5_000, 5_000);
    assertFalse(lease.isValid());
  }

  @Test
  public void holdsForEverWithoutTerm() {
    assertTrue(new TableLease(0, () -> nanos, () -> wallMillis).isValid());
  }

  private void confirm() {
    lease.onTableConfirmed(new ReadTimestamp(nanos, wallMillis));
  }

  private void pass(long steadyMillis, long ofDayMillis) {
    nanos += steadyMillis * MILLI;
    wallMillis += ofDayMillis;
  }
}

package dev.agatepier.wire.version;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.version.ReadTimestamp;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TableLeaseTest {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private long monotonicNanos;
  private long wallMillis;
  private TableLease lease;

  @BeforeMethod
  public void createLease() {
    monotonicNanos = 77 * NANOS_PER_MILLI;
    wallMillis = 1_000_000;
    lease = new TableLease(5_000, () -> monotonicNanos, () -> wallMillis);
  }

  @Test
  public void expiresAfterItsDurationFromStartOfRead() {
    assertFalse(lease.isValid(), "the table has not been confirmed");
    confirm();
    advanceClocks(4_999, 4_999);
    assertTrue(lease.isValid());
    advanceClocks(1, 1);
    assertFalse(lease.isValid());
    confirm();
    assertTrue(lease.isValid());
  }

  @Test
  public void expiresWhenTheInstanceWasSuspended() {
    confirm();
    advanceClocks(100, 3_000);
    assertFalse(lease.isValid(), "the monotonic clock was stopped");
    confirm();
    assertTrue(lease.isValid());
  }

  @Test
  public void staysValidWhenWallClockJumpsBack() {
    confirm();
    advanceClocks(100, -2_000);
    assertTrue(lease.isValid());
    advanceClocks(5_000, 5_000);
    assertFalse(lease.isValid());
  }

  @Test
  public void neverExpiresWithDurationZero() {
    assertTrue(new TableLease(0, () -> monotonicNanos, () -> wallMillis).isValid());
  }

  private void confirm() {
    lease.onTableConfirmed(new ReadTimestamp(monotonicNanos, wallMillis));
  }

  private void advanceClocks(long monotonicMillis, long wallClockMillis) {
    monotonicNanos += monotonicMillis * NANOS_PER_MILLI;
    wallMillis += wallClockMillis;
  }
}

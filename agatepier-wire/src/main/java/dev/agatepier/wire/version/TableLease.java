package dev.agatepier.wire.version;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.LogEvent;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Lease of the active table: whether it was confirmed recently enough to admit calls with a key.
 * The age is counted from the start of the read that confirmed the table.
 */
public final class TableLease implements VersionListener {

  private static final Logger LOGGER = LogManager.getLogger(TableLease.class);

  private final long leaseMillis;
  private final ConfirmationAge confirmation;
  private volatile boolean lastValid;

  /**
   * Creates the lease of a table that has not been confirmed yet.
   *
   * @param leaseMillis how long a confirmation is valid, in milliseconds; 0 for no expiry
   * @param clock the process's monotonic clock
   * @param wallMillis the wall clock, in milliseconds
   */
  public TableLease(long leaseMillis, MonotonicClock clock, LongSupplier wallMillis) {
    this.leaseMillis = leaseMillis;
    confirmation = new ConfirmationAge(clock, wallMillis);
  }

  /** Returns whether the confirmation is still valid; logs each change of the result. */
  public boolean isValid() {
    if (leaseMillis == 0) {
      return true;
    }
    long age = ageMillis();
    boolean valid = age < leaseMillis;
    if (valid != lastValid) {
      lastValid = valid;
      LOGGER.info(
          (valid ? LogEvent.TABLE_CONFIRMED : LogEvent.TABLE_STALE)
              .message()
              .with("ageMillis", age)
              .with("leaseMillis", leaseMillis));
    }
    return valid;
  }

  /**
   * Returns the age of the confirmation in milliseconds; {@link Long#MAX_VALUE} if there is none.
   */
  public long ageMillis() {
    return confirmation.millis();
  }

  @Override
  public void onTableActivated(Table table) {
    // Activation does not confirm the table: onTableConfirmed reports the read that does.
  }

  @Override
  public void onTableConfirmed(ReadTimestamp readStarted) {
    confirmation.onConfirmed(readStarted);
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    // The instance list has no lease.
  }
}

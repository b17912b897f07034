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
 * Says whether the table in force was confirmed lately enough to admit keyed calls. The age is
 * counted from before the read that confirmed it, by the clock that has moved further: a suspended
 * instance's monotonic clock stands still.
 */
public final class TableLease implements VersionListener {

  private static final Logger LOGGER = LogManager.getLogger(TableLease.class);

  private final long leaseMillis;
  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private volatile ReadTimestamp confirmed;
  private volatile boolean held;

  /**
   * Creates a lease on a table that nobody has confirmed.
   *
   * @param leaseMillis how long a confirmation holds, in milliseconds; 0 for ever
   * @param clock the process's monotonic clock
   * @param wallMillis the time of day, in milliseconds
   */
  public TableLease(long leaseMillis, MonotonicClock clock, LongSupplier wallMillis) {
    this.leaseMillis = leaseMillis;
    this.clock = clock;
    this.wallMillis = wallMillis;
  }

  /** Returns whether the confirmation still holds; logs each change of the answer. */
  public boolean isValid() {
    if (leaseMillis == 0) {
      return true;
    }
    long age = ageMillis();
    boolean holds = age < leaseMillis;
    if (holds != held) {
      held = holds;
      LOGGER.info(
          (holds ? LogEvent.TABLE_CONFIRMED : LogEvent.TABLE_STALE)
              .message()
              .with("ageMillis", age)
              .with("leaseMillis", leaseMillis));
    }
    return holds;
  }

  /** Returns how old the confirmation is, in milliseconds; the largest number for none. */
  public long ageMillis() {
    ReadTimestamp mark = confirmed;
    if (mark == null) {
      return Long.MAX_VALUE;
    }
    return mark.ageMillis(new ReadTimestamp(clock.nanoTime(), wallMillis.getAsLong()));
  }

  @Override
  public void onTableActivated(Table table) {
    // A version alone confirms nothing; its read does.
  }

  @Override
  public void onTableConfirmed(ReadTimestamp begun) {
    confirmed = begun;
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    // Instances have no lease.
  }
}

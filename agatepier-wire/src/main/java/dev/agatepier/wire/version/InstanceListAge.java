package dev.agatepier.wire.version;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import java.util.function.LongSupplier;

/**
 * How long ago a read of the platform was started that confirmed the active instance list, for logs
 * and metrics. Upstreams that were registered later may be missing from the list.
 */
public final class InstanceListAge implements VersionListener {

  private static final long NONE = -1;

  private final ConfirmationAge confirmation;

  /**
   * Creates the age of a list that has not been confirmed yet.
   *
   * @param clock the process's monotonic clock
   * @param wallMillis the wall clock, in milliseconds
   */
  public InstanceListAge(MonotonicClock clock, LongSupplier wallMillis) {
    confirmation = new ConfirmationAge(clock, wallMillis);
  }

  /** Returns the age in milliseconds; -1 without a confirmation since the last suspension. */
  public long millis() {
    long millis = confirmation.millis();
    return millis == Long.MAX_VALUE ? NONE : millis;
  }

  @Override
  public void onInstancesConfirmed(ReadTimestamp readStarted) {
    confirmation.onConfirmed(readStarted);
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    // Activation does not confirm the list: onInstancesConfirmed reports the read that does.
  }

  @Override
  public void onTableActivated(Table table) {
    // The table has an age of its own.
  }
}

package dev.agatepier.wire.version;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.function.LongSupplier;

/**
 * Time since a read was started that confirmed a version to be the newest. Counted by whichever of
 * the monotonic clock and the wall clock has advanced further: the monotonic clock of a suspended
 * instance stops. May be used by several threads.
 */
final class ConfirmationAge {

  private final MonotonicClock clock;
  private final LongSupplier wallMillis;
  private volatile ReadTimestamp lastConfirmation;

  /**
   * Creates the age of a version that has not been confirmed yet.
   *
   * @param clock the process's monotonic clock
   * @param wallMillis the wall clock, in milliseconds
   */
  ConfirmationAge(MonotonicClock clock, LongSupplier wallMillis) {
    this.clock = clock;
    this.wallMillis = wallMillis;
  }

  /** Records a confirmation by a read that was started at the given time. */
  void onConfirmed(ReadTimestamp readStarted) {
    lastConfirmation = readStarted;
  }

  /**
   * Returns the age of the confirmation in milliseconds; {@link Long#MAX_VALUE} if there is none or
   * the instance was suspended since.
   */
  long millis() {
    ReadTimestamp confirmation = lastConfirmation;
    if (confirmation == null) {
      return Long.MAX_VALUE;
    }
    return confirmation.ageMillis(new ReadTimestamp(clock.nanoTime(), wallMillis.getAsLong()));
  }
}

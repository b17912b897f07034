package dev.agatepier.core.version;

import java.util.concurrent.TimeUnit;

/**
 * When a read of the platform was begun, by both clocks of the process. What the read gave was in
 * force then or later.
 *
 * @param nanos the monotonic clock, in nanoseconds
 * @param wallMillis the time of day, in milliseconds
 */
public record ReadTimestamp(long nanos, long wallMillis) {

  /** Difference between both clocks that their rates and granularity explain, in milliseconds. */
  private static final long MAXIMUM_DRIFT_MILLIS = 500;

  /** Stands for a read that nobody timed. */
  public static final ReadTimestamp UNTIMED = new ReadTimestamp(0, 0);

  /**
   * Returns how long ago this was, in milliseconds; the largest number if the time of day moved
   * further than the monotonic clock, which stands still while an instance is suspended.
   */
  public long ageMillis(ReadTimestamp now) {
    long steady = TimeUnit.NANOSECONDS.toMillis(now.nanos - nanos);
    long ofDay = now.wallMillis - wallMillis;
    return ofDay - steady > MAXIMUM_DRIFT_MILLIS ? Long.MAX_VALUE : steady;
  }

  /** Returns the mark that lies some milliseconds before this one. */
  public ReadTimestamp before(long millis) {
    return new ReadTimestamp(nanos - TimeUnit.MILLISECONDS.toNanos(millis), wallMillis - millis);
  }

  /** Returns whether this is later than another mark by either clock. */
  public boolean laterThan(ReadTimestamp other) {
    return nanos - other.nanos > 0 || wallMillis > other.wallMillis;
  }
}

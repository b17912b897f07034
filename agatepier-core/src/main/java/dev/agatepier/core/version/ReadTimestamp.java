package dev.agatepier.core.version;

import java.util.concurrent.TimeUnit;

/**
 * Time at which a read of the platform started, by both clocks of the process. The data that the
 * read returned was current at that time or later.
 *
 * @param nanos reading of the monotonic clock, in nanoseconds
 * @param wallMillis wall-clock time, in milliseconds
 */
public record ReadTimestamp(long nanos, long wallMillis) {

  /** Largest difference between both clocks that drift and granularity explain, in milliseconds. */
  private static final long MAXIMUM_DRIFT_MILLIS = 500;

  /** Placeholder for a read without a known time. */
  public static final ReadTimestamp UNTIMED = new ReadTimestamp(0, 0);

  /** Returns whether this is the time of a read, and not the placeholder. */
  public boolean isKnown() {
    return !equals(UNTIMED);
  }

  /**
   * Returns the time elapsed since this timestamp, in milliseconds. Returns {@link Long#MAX_VALUE}
   * if the wall clock advanced further than the monotonic clock, which stops while an instance is
   * suspended.
   */
  public long ageMillis(ReadTimestamp now) {
    long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(now.nanos - nanos);
    long wallClockMillis = now.wallMillis - wallMillis;
    return wallClockMillis - monotonicMillis > MAXIMUM_DRIFT_MILLIS
        ? Long.MAX_VALUE
        : monotonicMillis;
  }

  /** Returns the timestamp that is the given number of milliseconds before this one. */
  public ReadTimestamp before(long millis) {
    return new ReadTimestamp(nanos - TimeUnit.MILLISECONDS.toNanos(millis), wallMillis - millis);
  }

  /** Returns whether this is later than another timestamp by at least one of the clocks. */
  public boolean laterThan(ReadTimestamp other) {
    return nanos - other.nanos > 0 || wallMillis > other.wallMillis;
  }
}

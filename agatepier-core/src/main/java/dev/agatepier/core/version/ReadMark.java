package dev.agatepier.core.version;

/**
 * When a read of the platform was begun, by both clocks of the process. What the read gave was in
 * force then or later.
 *
 * @param nanos the monotonic clock, in nanoseconds
 * @param wallMillis the time of day, in milliseconds
 */
public record ReadMark(long nanos, long wallMillis) {

  /** Stands for a read that nobody timed. */
  public static final ReadMark UNTIMED = new ReadMark(0, 0);
}

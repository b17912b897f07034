package dev.agatepier.wire.connection.internal;

import java.util.concurrent.TimeUnit;

/** Tells whether a transfer stays below a minimum rate for longer than a grace period. */
final class MinimumRate {

  /** Time between two checks after which the process was suspended, so that nothing was read. */
  private static final long SUSPENDED_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final long graceNanos;
  private final long bytesPerSecond;
  private long sinceNanos;
  private long checkedNanos;
  private long bytesBefore;

  /**
   * Creates the rule of one transfer.
   *
   * @param graceMillis period over which the rate is measured, in milliseconds
   * @param bytesPerSecond minimum rate
   */
  MinimumRate(long graceMillis, long bytesPerSecond) {
    this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Starts a period. */
  void start(long nowNanos, long bytes) {
    sinceNanos = nowNanos;
    checkedNanos = nowNanos;
    bytesBefore = bytes;
  }

  /**
   * Returns whether the period is over with too few bytes; starts the next one after enough bytes.
   *
   * @param unreportedBytes bytes that may have been transferred beside those known
   */
  boolean isTooSlow(long nowNanos, long bytes, long unreportedBytes) {
    long elapsedNanos = nowNanos - sinceNanos;
    boolean suspended = nowNanos - checkedNanos > SUSPENDED_NANOS;
    checkedNanos = nowNanos;
    if (suspended) {
      start(nowNanos, bytes);
    }
    if (suspended || elapsedNanos < graceNanos) {
      return false;
    }
    long transferred = bytes - bytesBefore;
    long required = bytesPerSecond * TimeUnit.NANOSECONDS.toMillis(elapsedNanos) / 1_000;
    if (transferred >= required) {
      start(nowNanos, bytes);
    }
    return transferred + unreportedBytes < required;
  }
}

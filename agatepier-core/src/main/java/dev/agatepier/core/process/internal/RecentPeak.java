package dev.agatepier.core.process.internal;

/** The highest recent value of a count. */
public final class RecentPeak {

  private final long validityNanos;
  private int peak;
  private long reachedNanos;

  /**
   * Creates a peak of 0.
   *
   * @param validityNanos time after which a lower count replaces the peak
   */
  public RecentPeak(long validityNanos) {
    this.validityNanos = validityNanos;
  }

  /** Records the current count and returns the recent peak. */
  public int update(int count, long nowNanos) {
    if (count >= peak || nowNanos - reachedNanos > validityNanos) {
      peak = count;
      reachedNanos = nowNanos;
    }
    return peak;
  }
}

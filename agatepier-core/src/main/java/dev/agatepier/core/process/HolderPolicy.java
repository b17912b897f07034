package dev.agatepier.core.process;

/**
 * What operators may set about the sums that a router holds.
 *
 * @param tellMillis least time between two messages with sums to one process, in milliseconds
 * @param forgetMillis how long a process that is gone is remembered, in milliseconds
 */
public record HolderPolicy(long tellMillis, long forgetMillis) {

  /** The values used where settings say nothing. */
  public static final HolderPolicy DEFAULT = new HolderPolicy(250, 600_000);

  /** Checks that every value is in range. */
  public HolderPolicy {
    if (tellMillis < 1 || forgetMillis < 1) {
      throw new IllegalArgumentException("a time of the holder policy is below 1 ms");
    }
  }
}

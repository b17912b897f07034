package dev.agatepier.core.process;

/**
 * What operators may set about the sums that a router holds.
 *
 * @param sendIntervalMillis least time between two messages with sums to one process, in
 *     milliseconds
 * @param retentionMillis how long a process that is gone is remembered, in milliseconds
 */
public record CostAggregatorPolicy(long sendIntervalMillis, long retentionMillis) {

  /** The values used where settings say nothing. */
  public static final CostAggregatorPolicy DEFAULT = new CostAggregatorPolicy(250, 600_000);

  /** Checks that every value is in range. */
  public CostAggregatorPolicy {
    if (sendIntervalMillis < 1 || retentionMillis < 1) {
      throw new IllegalArgumentException("a time of the holder policy is below 1 ms");
    }
  }
}

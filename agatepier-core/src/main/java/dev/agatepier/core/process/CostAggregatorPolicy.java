package dev.agatepier.core.process;

/**
 * Settings of a cost aggregator.
 *
 * @param sendIntervalMillis minimum interval between two periodic cost messages to one process, in
 *     milliseconds
 * @param retentionMillis time for which the costs of a disconnected process are retained, in
 *     milliseconds
 */
public record CostAggregatorPolicy(long sendIntervalMillis, long retentionMillis) {

  /** The default values. */
  public static final CostAggregatorPolicy DEFAULT = new CostAggregatorPolicy(250, 600_000);

  /** Checks that every value is in range. */
  public CostAggregatorPolicy {
    if (sendIntervalMillis < 1 || retentionMillis < 1) {
      throw new IllegalArgumentException(
          "cost aggregator policy: sendIntervalMillis "
              + sendIntervalMillis
              + ", retentionMillis "
              + retentionMillis
              + ": each must be at least 1");
    }
  }
}

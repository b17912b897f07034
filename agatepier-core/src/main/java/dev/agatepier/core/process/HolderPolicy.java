package dev.agatepier.core.process;

/**
 * Settings of a cost aggregator.
 *
 * @param tellMillis minimum interval between two periodic cost messages to one process, in
 *     milliseconds
 * @param forgetMillis time for which the costs of a disconnected process are retained, in
 *     milliseconds
 */
public record HolderPolicy(long tellMillis, long forgetMillis) {

  /** The default values. */
  public static final HolderPolicy DEFAULT = new HolderPolicy(250, 600_000);

  /** Checks that every value is in range. */
  public HolderPolicy {
    if (tellMillis < 1 || forgetMillis < 1) {
      throw new IllegalArgumentException(
          "cost aggregator policy: sendIntervalMillis "
              + tellMillis
              + ", retentionMillis "
              + forgetMillis
              + ": each must be at least 1");
    }
  }
}

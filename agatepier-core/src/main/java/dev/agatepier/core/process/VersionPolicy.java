package dev.agatepier.core.process;

/**
 * What operators may set about how a process follows table and instance list.
 *
 * @param readersPerDataCentre processes of a data centre that watch the platform
 * @param coldStartMillis longest a process without memory waits for both a peer and the platform,
 *     in milliseconds
 * @param startSpreadMillis span over which first reads of the platform are spread, in milliseconds
 * @param watchSeconds how long a watch of the platform is held, in seconds
 * @param firstRetryMillis delay after the first failed read, in milliseconds; doubles after each
 * @param lastRetryMillis longest delay after failed reads, in milliseconds
 * @param transferMillis how long a peer may take to answer, in milliseconds
 * @param leaseMillis time after which a table that no read has confirmed admits no keyed call, in
 *     milliseconds; 0 for no such limit
 */
public record VersionPolicy(
    int readersPerDataCentre,
    long coldStartMillis,
    long startSpreadMillis,
    int watchSeconds,
    long firstRetryMillis,
    long lastRetryMillis,
    long transferMillis,
    long leaseMillis) {

  /** The values used where settings say nothing. */
  public static final VersionPolicy DEFAULT =
      new VersionPolicy(2, 3_000, 500, 25, 250, 30_000, 2_000);

  /** Creates a policy under which a table need not be confirmed. */
  public VersionPolicy(
      int readersPerDataCentre,
      long coldStartMillis,
      long startSpreadMillis,
      int watchSeconds,
      long firstRetryMillis,
      long lastRetryMillis,
      long transferMillis) {
    this(
        readersPerDataCentre,
        coldStartMillis,
        startSpreadMillis,
        watchSeconds,
        firstRetryMillis,
        lastRetryMillis,
        transferMillis,
        0);
  }

  /** Checks that every value is in range. */
  public VersionPolicy {
    if (readersPerDataCentre < 1 || watchSeconds < 1) {
      throw new IllegalArgumentException("a count of the version policy is below 1");
    }
    if (coldStartMillis < 0 || startSpreadMillis < 0 || leaseMillis < 0) {
      throw new IllegalArgumentException("a time of the version policy is negative");
    }
    if (firstRetryMillis < 1 || lastRetryMillis < firstRetryMillis || transferMillis < 1) {
      throw new IllegalArgumentException("a delay of the version policy is out of range");
    }
  }
}

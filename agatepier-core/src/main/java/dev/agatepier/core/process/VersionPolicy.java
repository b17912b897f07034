package dev.agatepier.core.process;

/**
 * Settings for how a process tracks the table and the instance list.
 *
 * @param readersPerDataCentre number of processes of a data centre that watch the platform
 * @param coldStartMillis maximum time for which a newly started process waits for both a peer and
 *     the platform, in milliseconds
 * @param startSpreadMillis period over which the first reads of the platform are spread, in
 *     milliseconds
 * @param watchSeconds duration of one watch (long poll) of the platform, in seconds
 * @param firstRetryMillis backoff after the first failed read, in milliseconds; it doubles with
 *     each further failure
 * @param lastRetryMillis maximum backoff after failed reads, in milliseconds
 * @param transferMillis timeout for the reply of a peer, in milliseconds
 * @param leaseMillis time without a confirming read after which calls with a key are no longer
 *     admitted under the active table, in milliseconds; 0 for no limit
 * @param evacuations whether the platform's evacuations of data centres are read
 */
public record VersionPolicy(
    int readersPerDataCentre,
    long coldStartMillis,
    long startSpreadMillis,
    int watchSeconds,
    long firstRetryMillis,
    long lastRetryMillis,
    long transferMillis,
    long leaseMillis,
    boolean evacuations) {

  /** The default values. */
  public static final VersionPolicy DEFAULT =
      new VersionPolicy(2, 3_000, 500, 25, 250, 30_000, 2_000);

  /** Creates a policy without a lease: a table need not be confirmed. */
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

  /** Creates a policy that ignores evacuations. */
  public VersionPolicy(
      int readersPerDataCentre,
      long coldStartMillis,
      long startSpreadMillis,
      int watchSeconds,
      long firstRetryMillis,
      long lastRetryMillis,
      long transferMillis,
      long leaseMillis) {
    this(
        readersPerDataCentre,
        coldStartMillis,
        startSpreadMillis,
        watchSeconds,
        firstRetryMillis,
        lastRetryMillis,
        transferMillis,
        leaseMillis,
        false);
  }

  /** Checks that every value is in range. */
  public VersionPolicy {
    if (readersPerDataCentre < 1 || watchSeconds < 1) {
      throw new IllegalArgumentException(
          "version policy: readersPerDataCentre "
              + readersPerDataCentre
              + ", watchSeconds "
              + watchSeconds
              + ": each must be at least 1");
    }
    if (coldStartMillis < 0 || startSpreadMillis < 0 || leaseMillis < 0) {
      throw new IllegalArgumentException(
          "version policy: coldStartMillis "
              + coldStartMillis
              + ", startSpreadMillis "
              + startSpreadMillis
              + ", leaseMillis "
              + leaseMillis
              + ": none may be negative");
    }
    if (firstRetryMillis < 1 || lastRetryMillis < firstRetryMillis || transferMillis < 1) {
      throw new IllegalArgumentException(
          "version policy: firstRetryMillis "
              + firstRetryMillis
              + " and transferMillis "
              + transferMillis
              + " must be at least 1, lastRetryMillis "
              + lastRetryMillis
              + " at least firstRetryMillis");
    }
  }
}

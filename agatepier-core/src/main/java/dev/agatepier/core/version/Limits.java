package dev.agatepier.core.version;

/**
 * Limits of one workspace at each router.
 *
 * @param waiting maximum number of requests waiting at one router
 * @param running maximum number of requests running concurrently through one router
 * @param costPerMinute maximum cost of the requests started within a minute through one router, in
 *     cost units; 0 for no limit
 */
public record Limits(int waiting, int running, double costPerMinute) {

  /** Rejects negative limits. */
  public Limits {
    if (waiting < 0 || running < 0 || costPerMinute < 0) {
      throw new IllegalArgumentException(
          "waiting "
              + waiting
              + ", running "
              + running
              + " or costPerMinute "
              + costPerMinute
              + " is negative");
    }
  }
}

package dev.agatepier.core.version;

/**
 * Limits of one workspace.
 *
 * @param waiting requests that may wait at one router
 * @param running requests that may run at one time through one router
 * @param costPerMinute cost that may be started in a minute through one router, in cost units; 0
 *     for no limit
 */
public record Limits(int waiting, int running, double costPerMinute) {

  /** Checks that no limit is negative. */
  public Limits {
    if (waiting < 0 || running < 0 || costPerMinute < 0) {
      throw new IllegalArgumentException("a limit is negative");
    }
  }
}

package dev.agatepier.core.request;

import java.util.OptionalInt;

/**
 * Load that an upstream states in the head of a response.
 *
 * @param running requests that it runs, of all senders
 * @param waiting requests that it has accepted and not started
 * @param slots requests that it can run at one time
 * @param pacePercent time that work takes on its machine now, relative to the usual time, in
 *     percent: 200 means twice as long; empty if it does not state it
 */
public record UpstreamLoadReport(int running, int waiting, int slots, OptionalInt pacePercent) {

  /** Bounds of the pace; a value outside them is no plausible measurement. */
  private static final int MINIMUM_PACE_PERCENT = 1;

  private static final int MAXIMUM_PACE_PERCENT = 10_000;

  /** Rejects negative counts and a pace out of range. */
  public UpstreamLoadReport {
    if (running < 0 || waiting < 0 || slots < 0) {
      throw new IllegalArgumentException(
          "running " + running + ", waiting " + waiting + " or slots " + slots + " is negative");
    }
    if (pacePercent.isPresent()
        && (pacePercent.getAsInt() < MINIMUM_PACE_PERCENT
            || pacePercent.getAsInt() > MAXIMUM_PACE_PERCENT)) {
      throw new IllegalArgumentException(
          "pacePercent "
              + pacePercent.getAsInt()
              + " is not between "
              + MINIMUM_PACE_PERCENT
              + " and "
              + MAXIMUM_PACE_PERCENT);
    }
  }
}

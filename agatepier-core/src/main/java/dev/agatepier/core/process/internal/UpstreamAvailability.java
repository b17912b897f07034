package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.version.Upstream;

/**
 * What is known of whether an upstream may get requests. Every decision that sends requests to
 * upstreams, or selects where they wait, asks this function; what a user of it does not know is
 * left out.
 *
 * @param listed whether the instance list contains it
 * @param leaving whether it is leaving
 * @param evacuated whether its data centre is evacuated
 * @param stalled whether its requests have waited too long without any progress
 * @param ejectedUntilNanos time until which it is ejected; {@link #NO_TIME} if it is not
 * @param pausedUntilNanos time until which it has asked for a pause; {@link #NO_TIME} if it has not
 * @param cold whether it is cold
 * @param coldRequestsPerSecond requests that it may get in a second while it is cold
 */
public record UpstreamAvailability(
    boolean listed,
    boolean leaving,
    boolean evacuated,
    boolean stalled,
    long ejectedUntilNanos,
    long pausedUntilNanos,
    boolean cold,
    double coldRequestsPerSecond) {

  /** Time of an ejection or a pause that has not begun. */
  public static final long NO_TIME = Long.MIN_VALUE;

  /** An upstream that the instance list does not contain. */
  public static final UpstreamAvailability GONE =
      new UpstreamAvailability(false, false, false, false, NO_TIME, NO_TIME, false, 0);

  /** Returns what the instance list says of an upstream. */
  public static UpstreamAvailability ofEntry(Upstream upstream, boolean evacuated) {
    return new UpstreamAvailability(
        true, upstream.leaving(), evacuated, false, NO_TIME, NO_TIME, false, 0);
  }

  /** Returns this with the progress that the slot allocator has observed. */
  UpstreamAvailability withProgress(boolean isStalled, long ejectedUntil) {
    return new UpstreamAvailability(
        listed,
        leaving,
        evacuated,
        isStalled,
        ejectedUntil,
        pausedUntilNanos,
        cold,
        coldRequestsPerSecond);
  }

  /** Returns this with what the upstream has said in its responses. */
  UpstreamAvailability withNotices(boolean announcedLeaving, long pausedUntil) {
    return new UpstreamAvailability(
        listed,
        leaving || announcedLeaving,
        evacuated,
        stalled,
        ejectedUntilNanos,
        pausedUntil,
        cold,
        coldRequestsPerSecond);
  }

  /** Returns this with whether the upstream is cold and the rate that it tolerates while it is. */
  UpstreamAvailability withCold(boolean isCold, double requestsPerSecond) {
    return new UpstreamAvailability(
        listed,
        leaving,
        evacuated,
        stalled,
        ejectedUntilNanos,
        pausedUntilNanos,
        isCold,
        requestsPerSecond);
  }

  /** Returns the state at a time; of several that apply, the one that lasts longest. */
  public UpstreamState state(long nowNanos) {
    if (!listed) {
      return UpstreamState.GONE;
    }
    if (leaving) {
      return UpstreamState.LEAVING;
    }
    if (evacuated) {
      return UpstreamState.EVACUATED;
    }
    if (stalled) {
      return UpstreamState.STALLED;
    }
    if (isBefore(nowNanos, ejectedUntilNanos)) {
      return UpstreamState.EJECTED;
    }
    if (isBefore(nowNanos, pausedUntilNanos)) {
      return UpstreamState.PAUSED;
    }
    return cold ? UpstreamState.COLD : UpstreamState.READY;
  }

  private static boolean isBefore(long nowNanos, long untilNanos) {
    return untilNanos != NO_TIME && nowNanos < untilNanos;
  }
}

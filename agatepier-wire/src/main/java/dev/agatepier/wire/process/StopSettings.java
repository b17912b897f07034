package dev.agatepier.wire.process;

/**
 * What operators may set about a planned stop.
 *
 * @param graceMillis time for which a stopping router still accepts while it says that it is not
 *     ready, so that the balancer leaves, in milliseconds
 * @param timeoutMillis longest time of the whole stop, in milliseconds; what still runs then is cut
 */
public record StopSettings(long graceMillis, long timeoutMillis) {

  /** The values used where settings say nothing. */
  public static final StopSettings DEFAULT = new StopSettings(1_000, 150_000);

  /** Checks that the grace fits into the whole time. */
  public StopSettings {
    if (graceMillis < 0 || timeoutMillis < 1 || graceMillis >= timeoutMillis) {
      throw new IllegalArgumentException("graceMillis must be from 0 and below timeoutMillis");
    }
  }
}

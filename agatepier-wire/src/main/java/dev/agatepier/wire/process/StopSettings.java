package dev.agatepier.wire.process;

/**
 * Time limits of a graceful stop.
 *
 * @param graceMillis time for which a stopping router reports that it is not ready but still
 *     accepts requests, so that the load balancer stops sending, in milliseconds
 * @param timeoutMillis maximum time of the whole stop, in milliseconds; requests still in flight
 *     are aborted
 */
public record StopSettings(long graceMillis, long timeoutMillis) {

  /** Default time limits. */
  public static final StopSettings DEFAULT = new StopSettings(1_000, 150_000);

  /** Requires a grace period shorter than the timeout. */
  public StopSettings {
    if (graceMillis < 0 || timeoutMillis < 1 || graceMillis >= timeoutMillis) {
      throw new IllegalArgumentException(
          "graceMillis must be from 0 and below timeoutMillis: "
              + graceMillis
              + ", "
              + timeoutMillis);
    }
  }
}

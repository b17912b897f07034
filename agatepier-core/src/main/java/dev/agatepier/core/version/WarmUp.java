package dev.agatepier.core.version;

/**
 * How the upstreams of a service behave for a time after their start.
 *
 * @param durationMillis time for which an upstream is cold after its start, in milliseconds
 * @param requestsPerSecond requests a second that a cold upstream tolerates
 */
public record WarmUp(long durationMillis, double requestsPerSecond) {

  /** Rejects values that are not above 0. */
  public WarmUp {
    if (durationMillis < 1 || !(requestsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "durationMillis "
              + durationMillis
              + " is below 1 or requestsPerSecond "
              + requestsPerSecond
              + " is not above 0");
    }
  }
}

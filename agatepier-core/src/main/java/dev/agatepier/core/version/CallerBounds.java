package dev.agatepier.core.version;

/**
 * Published bounds on what a caller may send and how long it may take.
 *
 * @param headerBytes most bytes of a request's head
 * @param bodyBytes most bytes of a request's body
 * @param headerMillis longest time from the first byte of a head to its last, in milliseconds
 * @param idleMillis longest time between two requests on one connection, in milliseconds
 */
public record CallerBounds(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

  /** The bounds in force while none are published. */
  public static final CallerBounds DEFAULT =
      new CallerBounds(32_768, 4 * 1024 * 1024, 10_000, 60_000);

  /** Checks that every bound is positive. */
  public CallerBounds {
    if (headerBytes < 1 || bodyBytes < 1 || headerMillis < 1 || idleMillis < 1) {
      throw new IllegalArgumentException("a bound of callers is below 1");
    }
  }
}

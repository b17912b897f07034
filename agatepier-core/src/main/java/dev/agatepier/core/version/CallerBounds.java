package dev.agatepier.core.version;

/**
 * Published limits on the size and duration of callers' requests.
 *
 * @param headerBytes maximum size of a request's head, in bytes
 * @param bodyBytes maximum size of a request's body, in bytes
 * @param headerMillis maximum time from the first to the last byte of a head, in milliseconds
 * @param idleMillis maximum time between two requests on one connection, in milliseconds
 */
public record CallerBounds(int headerBytes, int bodyBytes, long headerMillis, long idleMillis) {

  /** The bounds that apply while none are published. */
  public static final CallerBounds DEFAULT =
      new CallerBounds(32_768, 4 * 1024 * 1024, 10_000, 60_000);

  /** Rejects bounds below 1. */
  public CallerBounds {
    if (headerBytes < 1 || bodyBytes < 1 || headerMillis < 1 || idleMillis < 1) {
      throw new IllegalArgumentException(
          "headerBytes "
              + headerBytes
              + ", bodyBytes "
              + bodyBytes
              + ", headerMillis "
              + headerMillis
              + " or idleMillis "
              + idleMillis
              + " is below 1");
    }
  }
}

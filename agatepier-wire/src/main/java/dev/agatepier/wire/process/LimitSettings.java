package dev.agatepier.wire.process;

/**
 * Limits on connections and on the size of requests.
 *
 * @param bodyBytes maximum bytes of a request body
 * @param headerBytes maximum bytes of a request head
 * @param connections maximum connections of callers at one time
 */
public record LimitSettings(int bodyBytes, int headerBytes, int connections) {

  /** Default limits. */
  public static final LimitSettings DEFAULT = new LimitSettings(4_194_304, 16_384, 4_096);

  /** Requires values in range. */
  public LimitSettings {
    if (bodyBytes < 1 || headerBytes < 1_024 || connections < 1) {
      throw new IllegalArgumentException(
          "bodyBytes and connections must be at least 1, headerBytes at least 1024: "
              + bodyBytes
              + ", "
              + connections
              + ", "
              + headerBytes);
    }
  }
}

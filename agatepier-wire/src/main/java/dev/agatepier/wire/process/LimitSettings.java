package dev.agatepier.wire.process;

/**
 * Bounds on what one caller or peer may send.
 *
 * @param bodyBytes most bytes of a request's body
 * @param headerBytes most bytes of a request's head
 * @param connections most callers' connections at one time
 */
public record LimitSettings(int bodyBytes, int headerBytes, int connections) {

  /** The values used where settings say nothing. */
  public static final LimitSettings DEFAULT = new LimitSettings(4_194_304, 16_384, 4_096);

  /** Checks that every value is in range. */
  public LimitSettings {
    if (bodyBytes < 1 || headerBytes < 1_024 || connections < 1) {
      throw new IllegalArgumentException(
          "bodyBytes and connections must be above 0, headerBytes not below 1024");
    }
  }
}

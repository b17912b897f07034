package dev.agatepier.standin.connection;

/**
 * Faults injected into one direction of a proxied route.
 *
 * @param delayMillis one-way delay, in milliseconds
 * @param jitterMillis upper bound of the random delay that is added, in milliseconds
 * @param bytesPerSecond bandwidth limit; 0 for none
 * @param swallow whether bytes and the end of the stream are silently dropped
 * @param freeze whether bytes are buffered until the fault is removed
 */
public record DirectionFaults(
    long delayMillis, long jitterMillis, long bytesPerSecond, boolean swallow, boolean freeze) {

  /** No faults. */
  public static final DirectionFaults NONE = new DirectionFaults(0, 0, 0, false, false);

  /** Rejects negative numbers. */
  public DirectionFaults {
    if (delayMillis < 0 || jitterMillis < 0 || bytesPerSecond < 0) {
      throw new IllegalArgumentException("a number of a direction's faults is negative");
    }
  }
}

package dev.agatepier.standin.connection;

/**
 * Faults of one direction of a proxied route.
 *
 * @param delayMillis time that each byte is held, in milliseconds
 * @param jitterMillis largest further time, in milliseconds
 * @param bytesPerSecond bandwidth; 0 for no limit
 * @param swallow whether bytes and the end of a connection are lost silently
 * @param freeze whether bytes are held until this ends
 */
public record DirectionFaults(
    long delayMillis, long jitterMillis, long bytesPerSecond, boolean swallow, boolean freeze) {

  /** No fault. */
  public static final DirectionFaults NONE = new DirectionFaults(0, 0, 0, false, false);

  /** Checks that no number is negative. */
  public DirectionFaults {
    if (delayMillis < 0 || jitterMillis < 0 || bytesPerSecond < 0) {
      throw new IllegalArgumentException("a number of a direction's faults is negative");
    }
  }
}

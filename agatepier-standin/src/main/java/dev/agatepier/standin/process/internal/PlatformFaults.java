package dev.agatepier.standin.process.internal;

/**
 * Faults put on the platform stand-in.
 *
 * @param down whether calls of the fleet are cut off without an answer
 * @param frozenTable whether the table stays as it was when this began
 * @param frozenInstances whether the instance list stays as it was when this began
 * @param instancesLagMillis time until a change of the instance list is seen, in milliseconds
 */
record PlatformFaults(
    boolean down, boolean frozenTable, boolean frozenInstances, long instancesLagMillis) {

  static final PlatformFaults NONE = new PlatformFaults(false, false, false, 0);

  PlatformFaults {
    if (instancesLagMillis < 0) {
      throw new IllegalArgumentException("$.instancesLagMillis is negative");
    }
  }
}

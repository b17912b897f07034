package dev.agatepier.standin.process.internal;

/**
 * Faults injected into the platform stand-in.
 *
 * @param down whether requests of the fleet are reset without a response
 * @param frozenTable whether the served table stays at the version that it had when the fault began
 * @param frozenInstances whether the served instance list stays at the version that it had when the
 *     fault began
 * @param instancesLagMillis delay until a published instance list becomes visible, in milliseconds
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

package dev.agatepier.core.process.internal;

/** Bounds the retries of one workspace at one service by a share of its first attempts. */
final class RetryBudget {

  /** Retries allowed before any first attempt has earned one. */
  private static final double INITIAL_RETRIES = 2;

  /** Most retries that can be saved up. */
  private static final double MAXIMUM_RETRIES = 100;

  private double retries = INITIAL_RETRIES;

  /** Adds what one first attempt earns. */
  void deposit(double share) {
    retries = Math.max(retries, Math.min(retries + share, MAXIMUM_RETRIES));
  }

  /** Takes one retry and returns whether there was one. */
  boolean tryAcquire() {
    if (retries < 1) {
      return false;
    }
    retries--;
    return true;
  }
}

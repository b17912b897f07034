package dev.agatepier.core.process.internal;

/** Limits the retries of one workspace at one service to a share of its first attempts. */
final class RetryBudget {

  /** Retries available before any first attempt. */
  private static final double INITIAL_RETRIES = 2;

  /** Maximum number of retries that can accumulate. */
  private static final double MAXIMUM_RETRIES = 100;

  private double retries = INITIAL_RETRIES;

  /** Adds the fraction of a retry that one first attempt earns. */
  void deposit(double share) {
    retries = Math.max(retries, Math.min(retries + share, MAXIMUM_RETRIES));
  }

  /** Consumes one retry; returns false if none is available. */
  boolean tryAcquire() {
    if (retries < 1) {
      return false;
    }
    retries--;
    return true;
  }
}

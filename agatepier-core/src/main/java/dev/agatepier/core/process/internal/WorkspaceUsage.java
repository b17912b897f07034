package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.Limits;

/** What one workspace uses of its limits at this router, over all services. */
final class WorkspaceUsage {

  private static final double NANOS_PER_MINUTE = 60e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final String workspace;
  int waiting;
  int running;

  /** Started cost that the rate limit has not yet absorbed, in cost units, as in a leaky bucket. */
  private double debt;

  private long debtUpdatedNanos;

  WorkspaceUsage(String workspace) {
    this.workspace = workspace;
  }

  /** Returns how long a cost has to wait for the rate limit, in milliseconds; 0 if it may start. */
  long costWaitMillis(double estimate, Limits limits, long nowNanos) {
    if (limits.costPerMinute() == 0) {
      debt = 0;
      return 0;
    }
    reduceDebt(limits, nowNanos);
    double excess = debt + estimate - limits.costPerMinute();
    boolean allowed = debt == 0 || (estimate == 0 ? excess < 0 : excess <= 0);
    return allowed
        ? 0
        : 1 + (long) (excess / limits.costPerMinute() * NANOS_PER_MINUTE) / NANOS_PER_MILLI;
  }

  /** Adds started cost; a negative cost corrects an estimate that was too high. */
  void charge(double cost) {
    debt = Math.max(0, debt + cost);
  }

  boolean idle(Limits limits, long nowNanos) {
    reduceDebt(limits, nowNanos);
    return waiting == 0 && running == 0 && (debt == 0 || limits.costPerMinute() == 0);
  }

  private void reduceDebt(Limits limits, long nowNanos) {
    if (debt > 0) {
      double absorbed = limits.costPerMinute() * (nowNanos - debtUpdatedNanos) / NANOS_PER_MINUTE;
      debt = Math.max(0, debt - absorbed);
    }
    debtUpdatedNanos = nowNanos;
  }
}

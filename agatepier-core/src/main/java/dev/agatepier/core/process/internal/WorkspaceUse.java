package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.Limits;

/** What one workspace uses of this router, over all services. */
final class WorkspaceUse {

  private static final double NANOS_PER_MINUTE = 60e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  final String workspace;
  int waiting;
  int running;

  /** Cost started and not yet paid back by time, in cost units. */
  private double debt;

  private long debtNanos;

  WorkspaceUse(String workspace) {
    this.workspace = workspace;
  }

  /** Returns how long to wait until a cost may be started, in milliseconds; 0 for not at all. */
  long costWaitMillis(double estimate, Limits limits, long nowNanos) {
    if (limits.costPerMinute() == 0) {
      debt = 0;
      return 0;
    }
    pay(limits, nowNanos);
    double excess = debt + estimate - limits.costPerMinute();
    boolean allowed = debt == 0 || (estimate == 0 ? excess < 0 : excess <= 0);
    return allowed
        ? 0
        : 1 + (long) (excess / limits.costPerMinute() * NANOS_PER_MINUTE) / NANOS_PER_MILLI;
  }

  /** Adds cost, or takes back cost that was estimated too high. */
  void charge(double cost) {
    debt = Math.max(0, debt + cost);
  }

  boolean idle(Limits limits, long nowNanos) {
    pay(limits, nowNanos);
    return waiting == 0 && running == 0 && (debt == 0 || limits.costPerMinute() == 0);
  }

  private void pay(Limits limits, long nowNanos) {
    if (debt > 0) {
      double paid = limits.costPerMinute() * (nowNanos - debtNanos) / NANOS_PER_MINUTE;
      debt = Math.max(0, debt - paid);
    }
    debtNanos = nowNanos;
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.ServiceKind;
import java.util.concurrent.TimeUnit;

/** Charges what running attempts cost: first the estimate, then what is seen, then the end's. */
final class CostMeter {
  private final WorkspaceLedger ledger;
  private final CostEstimator estimator;
  private ServiceKind kind = ServiceKind.MODEL;

  CostMeter(WorkspaceLedger ledger, CostEstimator estimator) {
    this.ledger = ledger;
    this.estimator = estimator;
  }

  void setKind(ServiceKind value) {
    kind = value;
  }

  /** Charges what was seen beyond the charge so far. */
  void chargeProgress(RunningAttempt attempt, long nowNanos) {
    double seen = seenCost(attempt, nowNanos);
    if (seen > attempt.charged) {
      settle(attempt, seen);
    }
  }

  /** Sets the charge of a whole answer right and returns it. */
  double settleCompleted(RunningAttempt attempt, long reportedTokens, long nowNanos) {
    boolean reported = kind == ServiceKind.MODEL && reportedTokens > 0;
    double cost = reported ? reportedTokens : seenCost(attempt, nowNanos);
    settle(attempt, cost);
    estimator.recordCost(attempt.start.workspace(), cost);
    return cost;
  }

  /** Sets the charge of a cut answer to what was seen of it. */
  void settleIncomplete(RunningAttempt attempt, long nowNanos) {
    settle(attempt, seenCost(attempt, nowNanos));
  }

  /** Gives back the charge of an attempt that did not run. */
  void refund(RunningAttempt attempt) {
    settle(attempt, 0);
  }

  private double seenCost(RunningAttempt attempt, long nowNanos) {
    return switch (kind) {
      case MODEL -> attempt.tokens;
      case PLAIN -> (double) (nowNanos - attempt.startedNanos) / TimeUnit.MILLISECONDS.toNanos(1);
    };
  }

  private void settle(RunningAttempt attempt, double cost) {
    ledger.charge(attempt.start.workspace(), cost - attempt.charged);
    attempt.charged = cost;
  }
}

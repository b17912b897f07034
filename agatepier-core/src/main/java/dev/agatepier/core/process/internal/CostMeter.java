package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.ServiceKind;
import java.util.concurrent.TimeUnit;

/**
 * Charges attempts to their workspaces: first the estimate, then the observed cost, and the final
 * cost at the end.
 */
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

  /** Raises the charge to the observed cost if that is higher. */
  void chargeProgress(RunningAttempt attempt, long nowNanos) {
    double observed = observedCost(attempt, nowNanos);
    if (observed > attempt.charged) {
      settle(attempt, observed);
    }
  }

  /**
   * Corrects the charge to the final cost of a complete response, and returns that cost. The token
   * count that a model reports takes precedence over the observed one.
   */
  double settleCompleted(RunningAttempt attempt, long reportedTokens, long nowNanos) {
    boolean reported = kind == ServiceKind.MODEL && reportedTokens > 0;
    double cost = reported ? reportedTokens : observedCost(attempt, nowNanos);
    settle(attempt, cost);
    estimator.recordCost(attempt.start.workspace(), cost);
    return cost;
  }

  /** Corrects the charge to the observed cost of an incomplete response. */
  void settleIncomplete(RunningAttempt attempt, long nowNanos) {
    settle(attempt, observedCost(attempt, nowNanos));
  }

  /** Refunds the charge of an attempt that did not run. */
  void refund(RunningAttempt attempt) {
    settle(attempt, 0);
  }

  private double observedCost(RunningAttempt attempt, long nowNanos) {
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

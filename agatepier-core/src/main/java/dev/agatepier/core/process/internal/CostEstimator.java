package dev.agatepier.core.process.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the cost of a workspace's next request as an exponential moving average of the costs of
 * its finished requests.
 */
public final class CostEstimator {

  /** Weight of the newest cost in the moving average. */
  private static final double NEWEST_WEIGHT = 0.2;

  /** Estimate before any request has finished, in cost units. */
  private static final double INITIAL_COST = 1;

  private final Map<String, Double> means = new HashMap<>();
  private double serviceMean = INITIAL_COST;
  private boolean anyFinished;

  /**
   * Returns the estimated cost of a workspace's next request, in cost units; the average of the
   * service if the workspace has no finished request.
   */
  public double estimate(String workspace) {
    return means.getOrDefault(workspace, serviceMean);
  }

  /** Adds the cost of a finished request to the averages of its workspace and the service. */
  public void recordCost(String workspace, double cost) {
    means.merge(workspace, cost, CostEstimator::movingAverage);
    serviceMean = anyFinished ? movingAverage(serviceMean, cost) : cost;
    anyFinished = true;
  }

  private static double movingAverage(double mean, double newest) {
    return mean + NEWEST_WEIGHT * (newest - mean);
  }
}

package dev.agatepier.core.process.internal;

import java.util.HashMap;
import java.util.Map;

/** Expects of a workspace's next request what its finished ones cost, newer ones counting more. */
public final class CostEstimator {

  /** Share of the newest cost in the mean. */
  private static final double NEWEST_SHARE = 0.2;

  /** Expected cost before anything has finished, in cost units. */
  private static final double FIRST_COST = 1;

  private final Map<String, Double> means = new HashMap<>();
  private double serviceMean = FIRST_COST;
  private boolean anyFinished;

  /** Returns the expected cost of a workspace's next request, in cost units. */
  public double estimate(String workspace) {
    return means.getOrDefault(workspace, serviceMean);
  }

  /** Takes in the cost of a finished request. */
  public void recordCost(String workspace, double cost) {
    means.merge(workspace, cost, CostEstimator::mix);
    serviceMean = anyFinished ? mix(serviceMean, cost) : cost;
    anyFinished = true;
  }

  private static double mix(double mean, double newest) {
    return mean + NEWEST_SHARE * (newest - mean);
  }
}

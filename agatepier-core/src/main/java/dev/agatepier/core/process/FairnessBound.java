package dev.agatepier.core.process;

/**
 * Bounds the difference in service between two workspaces that are continuously backlogged.
 *
 * <p>A sidecar grants a slot to workspace {@code i} while {@code j} waits only if it computes a
 * lower virtual service for {@code i}. The computed value differs from the service received for two
 * reasons. First, each slot of the service may run a request whose final cost is not known, so up
 * to {@code slots * largestCost} are not yet charged, or are charged and not yet received. Second,
 * the cost served by other sidecars within the exchange delay is not known here; it is at most
 * {@code exchangeSeconds * capacityPerSecond}. Each error may concern a single workspace, and the
 * errors of the two workspaces may have opposite signs, so
 *
 * <pre>gap &lt;= (slots * largestCost + exchangeSeconds * capacityPerSecond) * (1/w_i + 1/w_j)
 * </pre>
 *
 * <p>The bound holds while the workspaces' demand is distributed over the sidecars so that each can
 * reach its share, and while the sidecars are connected to a common cost aggregator or to cost
 * aggregators that are connected to each other.
 *
 * @param largestCost maximum cost of a request, in cost units
 * @param slots number of slots of the service in the whole fleet
 * @param exchangeSeconds maximum time until a cost incurred at one sidecar is counted at all
 *     others, in seconds
 * @param capacityPerSecond cost that the whole fleet serves per second, in cost units
 */
public record FairnessBound(
    double largestCost, int slots, double exchangeSeconds, double capacityPerSecond) {

  /** Checks that no value is negative or NaN. */
  public FairnessBound {
    if (!(largestCost >= 0) || slots < 0 || !(exchangeSeconds >= 0) || !(capacityPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "fairness bound: largestCost "
              + largestCost
              + ", slots "
              + slots
              + ", exchangeSeconds "
              + exchangeSeconds
              + ", capacityPerSecond "
              + capacityPerSecond
              + ": none may be negative");
    }
  }

  /** Returns the maximum difference between the charged and the received cost, in cost units. */
  public double unaccountedCost() {
    return slots * largestCost + exchangeSeconds * capacityPerSecond;
  }

  /**
   * Returns the maximum difference in cost per weight between two workspaces.
   *
   * @param firstWeight weight of one workspace
   * @param secondWeight weight of the other workspace
   */
  public double gap(double firstWeight, double secondWeight) {
    return unaccountedCost() * (1 / firstWeight + 1 / secondWeight);
  }

  /**
   * Returns the maximum wait of a workspace's oldest request, in seconds, regardless of the number
   * of requests that other workspaces have waiting.
   *
   * <p>While the request waits, its workspace is backlogged and the fleet has no free slot. Another
   * backlogged workspace {@code j} that has received at least as much service when the wait starts
   * receives at most {@code w_j * gap(w_i, w_j)} before the request is granted a slot. All
   * workspaces together are served at the fleet's capacity, and every request that runs when the
   * wait starts completes first, so
   *
   * <pre>wait &lt;= (slots * largestCost + sum of w_j * gap(w_i, w_j)) / capacityPerSecond
   * </pre>
   *
   * @param weight weight of the waiting workspace
   * @param otherWeights weights of the other backlogged workspaces
   */
  public double waitSeconds(double weight, double... otherWeights) {
    double costAhead = slots * largestCost;
    for (double other : otherWeights) {
      costAhead += other * gap(weight, other);
    }
    return costAhead / capacityPerSecond;
  }
}

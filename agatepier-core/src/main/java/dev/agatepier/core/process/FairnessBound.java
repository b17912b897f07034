package dev.agatepier.core.process;

/**
 * Bounds the gap in service between two workspaces that are backlogged all the time.
 *
 * <p>A sidecar that gives a slot to workspace {@code i} though {@code j} waits sees the virtual
 * service of {@code i} as the lesser one. What it sees differs from what a workspace has received
 * in two ways. Each slot of the service may run a request whose cost is not known yet, so that up
 * to {@code slots * largestCost} are not charged, or charged and not received. And what other
 * sidecars served within the exchange delay is not known here, which is at most {@code
 * exchangeSeconds * capacityPerSecond}. Either may fall to one workspace alone, and on opposite
 * sides to both, so that
 *
 * <pre>gap &lt;= (slots * largestCost + exchangeSeconds * capacityPerSecond) * (1/w_i + 1/w_j)
 * </pre>
 *
 * <p>It holds while the spread of the workspaces' demand over the sidecars lets each reach its
 * share, and while the sidecars reach a common holder or holders that reach each other.
 *
 * @param largestCost cost of the most expensive request, in cost units
 * @param slots slots of the service in the whole fleet
 * @param exchangeSeconds longest time from a cost at one sidecar to its being counted at all
 *     others, in seconds
 * @param capacityPerSecond cost that the whole fleet serves in a second, in cost units
 */
public record FairnessBound(
    double largestCost, int slots, double exchangeSeconds, double capacityPerSecond) {

  /** Checks that nothing is negative. */
  public FairnessBound {
    if (!(largestCost >= 0) || slots < 0 || !(exchangeSeconds >= 0) || !(capacityPerSecond >= 0)) {
      throw new IllegalArgumentException("a part of the fairness bound is negative");
    }
  }

  /** Returns the cost that may be charged and not received or the other way, in cost units. */
  public double unaccountedCost() {
    return slots * largestCost + exchangeSeconds * capacityPerSecond;
  }

  /**
   * Returns the largest gap in cost per weight between two workspaces.
   *
   * @param firstWeight weight of the one
   * @param secondWeight weight of the other
   */
  public double gap(double firstWeight, double secondWeight) {
    return unaccountedCost() * (1 / firstWeight + 1 / secondWeight);
  }

  /**
   * Returns the longest wait of a workspace's oldest request, in seconds, however many requests the
   * other workspaces have waiting.
   *
   * <p>While the request waits, its workspace is backlogged and the fleet has no free slot. Another
   * backlogged workspace {@code j} that has received no less when the wait begins gets at most
   * {@code w_j * gap(w_i, w_j)} before the request's turn comes. All of them together are served at
   * the capacity, and all that runs at the begin ends first, so that
   *
   * <pre>wait &lt;= (slots * largestCost + sum of w_j * gap(w_i, w_j)) / capacityPerSecond
   * </pre>
   *
   * @param weight weight of the workspace that waits
   * @param otherWeights weights of the other backlogged workspaces
   */
  public double waitSeconds(double weight, double... otherWeights) {
    double ahead = slots * largestCost;
    for (double other : otherWeights) {
      ahead += other * gap(weight, other);
    }
    return ahead / capacityPerSecond;
  }
}

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

  /**
   * Returns the largest gap in cost per weight between two workspaces.
   *
   * @param firstWeight weight of the one
   * @param secondWeight weight of the other
   */
  public double gap(double firstWeight, double secondWeight) {
    double unseenCost = slots * largestCost + exchangeSeconds * capacityPerSecond;
    return unseenCost * (1 / firstWeight + 1 / secondWeight);
  }
}

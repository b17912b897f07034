package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.Room;
import java.util.List;

/**
 * Slot rule of plain upstreams: one request a slot. Cost is counted in milliseconds of the slot.
 */
final class PlainSlotRule implements SlotRule {

  /**
   * Number of parallel requests assumed per upstream; a low value, so that waits are overestimated.
   */
  private static final int PARALLELISM = 4;

  /** Weight of the newest request in the moving average of the time a slot is occupied. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Initial average, in milliseconds. */
  private static final double INITIAL_MEAN_MILLIS = 50;

  /** Upper bound of the share of failures, so that the expected number of attempts is finite. */
  private static final double MAX_FAILURE_SHARE = 0.95;

  /** Lower bound of the time for which a request occupies a slot. */
  private static final double MIN_MILLIS = 1;

  private double meanMillis = INITIAL_MEAN_MILLIS;

  @Override
  public Room room(UpstreamLoad upstream, long nowNanos) {
    return new Room(
        upstream.freeSlots(),
        Double.POSITIVE_INFINITY,
        backlogMillis(upstream, nowNanos),
        PARALLELISM);
  }

  @Override
  public double neededTokens(UpstreamLoad upstream, WaitingCall call) {
    return 0;
  }

  @Override
  public boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos) {
    return true;
  }

  @Override
  public double backlogMillis(UpstreamLoad upstream, long nowNanos) {
    return upstream.usesEstimate()
        ? slotTimes(upstream, upstream.running() + upstream.otherRequests())
        : meanMillis * upstream.running() / upstream.upstream.slots();
  }

  @Override
  public MeasuredCapacity capacity(List<UpstreamLoad> upstreams) {
    double requests = 0;
    for (UpstreamLoad upstream : upstreams) {
      requests += 1 / Math.max(MIN_MILLIS, upstream.slotMillis(meanMillis));
    }
    int count = upstreams.size();
    return new MeasuredCapacity(count * PARALLELISM, count / requests, 0);
  }

  @Override
  public double firstByteMillis(UpstreamLoad upstream, WaitingCall call) {
    return upstream.usesEstimate() ? upstream.slotMillis(meanMillis) : meanMillis;
  }

  @Override
  public double workMillis(UpstreamLoad upstream, WaitingCall call) {
    return upstream.usesEstimate() ? loadedMillis(upstream) : backlogMillis(upstream, 0);
  }

  /**
   * Returns the time of the further attempts that are expected until one succeeds, by the estimate.
   * Errors that are as frequent at every upstream then leave the load even.
   */
  @Override
  public double failureMillis(UpstreamLoad upstream, double allFailMillis) {
    if (!upstream.usesEstimate()) {
      return SlotRule.super.failureMillis(upstream, allFailMillis);
    }
    double share = Math.min(upstream.health.failureShare(), MAX_FAILURE_SHARE);
    return loadedMillis(upstream) * share / (1 - share);
  }

  /** Returns the share of the upstream's time that one more request takes with those it has. */
  private double loadedMillis(UpstreamLoad upstream) {
    return slotTimes(upstream, upstream.running() + upstream.otherRequests() + 1);
  }

  /** Returns the time of a number of requests that share the slots of an upstream. */
  private double slotTimes(UpstreamLoad upstream, int requests) {
    return upstream.slotMillis(meanMillis) * requests / upstream.upstream.slots();
  }

  @Override
  public double expectedCost(WaitingCall call) {
    return meanMillis;
  }

  @Override
  public double actualCost(WaitingCall call, long amount) {
    return amount;
  }

  @Override
  public void observe(long amount) {
    meanMillis += NEWEST_WEIGHT * (amount - meanMillis);
  }
}

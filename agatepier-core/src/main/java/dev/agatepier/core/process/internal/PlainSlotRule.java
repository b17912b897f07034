package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;

/**
 * Slot rule of plain upstreams: one request a slot. Cost is counted in milliseconds of the slot.
 */
final class PlainSlotRule implements SlotRule {

  /** Least number of slots assumed of an upstream, so that waits are over-estimated. */
  private static final int PARALLELISM = 4;

  /** Weight of the newest request in the moving average of the time a slot is occupied. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Initial average, in milliseconds. */
  private static final double INITIAL_MEAN_MILLIS = 50;

  private double meanMillis = INITIAL_MEAN_MILLIS;

  @Override
  public boolean hasCapacity(UpstreamLoad upstream, WaitingCall call) {
    return upstream.freeSlots() > 0;
  }

  @Override
  public boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos) {
    return true;
  }

  @Override
  public double backlogMillis(UpstreamLoad upstream, long nowNanos) {
    return meanMillis * upstream.running() / upstream.upstream.slots();
  }

  @Override
  public int parallelism() {
    return PARALLELISM;
  }

  @Override
  public double firstByteMillis(UpstreamLoad upstream, WaitingCall call) {
    return meanMillis;
  }

  @Override
  public double workMillis(UpstreamLoad upstream, WaitingCall call) {
    return backlogMillis(upstream, 0);
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

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;

/** Grants each slot of a plain upstream to one request. Cost is counted in milliseconds. */
final class PlainSlotRule implements SlotRule {

  /** Slots that a plain upstream has at the least, so that a wait is rather over-estimated. */
  private static final int LANES = 4;

  /** Weight of the newest request in the mean time that a slot is held. */
  private static final double NEWEST_WEIGHT = 0.1;

  /** Mean time assumed before any request has ended, in milliseconds. */
  private static final double FIRST_MEAN_MILLIS = 50;

  private double meanMillis = FIRST_MEAN_MILLIS;

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
    return LANES;
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

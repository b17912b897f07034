package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.version.ServiceKind;

/** Says whether an upstream has room for a request, how long it takes and what it costs. */
interface SlotRule {

  /** Returns whether the upstream has a slot and memory for a request. */
  boolean hasCapacity(UpstreamLoad upstream, WaitingCall call);

  /**
   * Returns whether the upstream should be given more work now.
   *
   * @param share part of the usual backlog that is allowed, from 0 to 1
   */
  boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos);

  /** Returns the expected time until what was granted before leaves room, in milliseconds. */
  double backlogMillis(UpstreamLoad upstream, long nowNanos);

  /** Returns how many requests an upstream works on side by side without slowing each other. */
  int parallelism();

  /** Returns the expected time until the answer begins at an upstream without backlog. */
  double firstByteMillis(UpstreamLoad upstream, WaitingCall call);

  /**
   * Returns the work that an upstream has with a request, in milliseconds; what it does a second
   * time for the fleet weighs more.
   */
  double workMillis(UpstreamLoad upstream, WaitingCall call);

  /** Returns the expected cost of a request, in cost units. */
  double expectedCost(WaitingCall call);

  /**
   * Returns the cost of a request that has ended, in cost units.
   *
   * @param amount tokens of the answer for a model request, otherwise milliseconds of the slot
   */
  double actualCost(WaitingCall call, long amount);

  /** Takes in the amount of a request that ended whole. */
  void observe(long amount);

  /** Returns the rule for a kind of service. */
  static SlotRule of(ServiceKind kind, SlotAllocatorPolicy policy) {
    return kind == ServiceKind.MODEL ? new ModelSlotRule(policy) : new PlainSlotRule();
  }
}

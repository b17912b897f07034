package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.Room;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.version.ServiceKind;
import java.util.List;

/** Capacity, time and cost estimates for requests of one kind of service. */
interface SlotRule {

  /** Returns what is free at an upstream. */
  Room room(UpstreamLoad upstream, long nowNanos);

  /** Returns the memory of an engine that a request needs, in tokens. */
  double neededTokens(UpstreamLoad upstream, WaitingCall call);

  /** Returns whether the upstream has a free slot and enough memory for a request. */
  default boolean hasCapacity(UpstreamLoad upstream, WaitingCall call, long nowNanos) {
    return room(upstream, nowNanos).holds(neededTokens(upstream, call));
  }

  /**
   * Returns whether the backlog of the upstream is small enough for another request.
   *
   * @param share share of the usual backlog that is allowed, from 0 to 1
   */
  boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos);

  /** Returns whether a request may be sent now without delaying the responses that stream. */
  default boolean permitsStart(UpstreamLoad upstream, WaitingCall call, long nowNanos) {
    return true;
  }

  /** Returns the cost of the delays that a request causes for responses that stream. */
  default double delayCostMillis(UpstreamLoad upstream, WaitingCall call) {
    return 0;
  }

  /** Returns the expected time to finish the work granted so far, in milliseconds. */
  double backlogMillis(UpstreamLoad upstream, long nowNanos);

  /** Returns what upstreams, at least one, can do. */
  MeasuredCapacity capacity(List<UpstreamLoad> upstreams);

  /** Returns the expected milliseconds to the first response byte if there is no backlog. */
  double firstByteMillis(UpstreamLoad upstream, WaitingCall call);

  /**
   * Returns the work that a request causes at an upstream, in milliseconds. Work that the fleet has
   * already done once, such as prefilling a shared prefix, has a higher weight.
   */
  double workMillis(UpstreamLoad upstream, WaitingCall call);

  /**
   * Returns the time that failures of an upstream are expected to cost, in milliseconds.
   *
   * @param allFailMillis the time for an upstream whose requests all fail
   */
  default double failureMillis(UpstreamLoad upstream, double allFailMillis) {
    return allFailMillis * upstream.health.failureShare();
  }

  /** Returns the expected cost of a request, in cost units. */
  double expectedCost(WaitingCall call);

  /**
   * Returns the cost of a request that has ended, in cost units.
   *
   * @param amount output tokens of a model request, otherwise milliseconds of the slot
   */
  double actualCost(WaitingCall call, long amount);

  /** Records the amount (tokens or milliseconds) of a completed request. */
  void observe(long amount);

  /**
   * Returns the rule for a kind of service.
   *
   * @param lengths expected lengths of responses
   */
  static SlotRule of(ServiceKind kind, SlotAllocatorPolicy policy, ResponseLengths lengths) {
    return kind == ServiceKind.MODEL ? new ModelSlotRule(policy, lengths) : new PlainSlotRule();
  }
}

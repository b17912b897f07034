package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.UpstreamAvailabilityChanged;
import dev.agatepier.core.process.UpstreamState;
import java.util.Collection;
import java.util.List;

/** Tells operators in which state the upstreams of a service are. */
final class AvailabilityReport {

  private final String service;
  private final Collection<UpstreamLoad> upstreams;
  private final ColdUpstreams coldUpstreams;
  private final List<SlotAllocatorEffect> effects;

  AvailabilityReport(
      String service,
      Collection<UpstreamLoad> upstreams,
      ColdUpstreams coldUpstreams,
      List<SlotAllocatorEffect> effects) {
    this.service = service;
    this.upstreams = upstreams;
    this.coldUpstreams = coldUpstreams;
    this.effects = effects;
  }

  /** Reports the upstreams whose state has changed since the last call. */
  void reportChanges(long nowNanos) {
    for (UpstreamLoad load : upstreams) {
      UpstreamState state = state(load, nowNanos);
      if (state != load.reportedState) {
        effects.add(
            new UpstreamAvailabilityChanged(
                service,
                load.upstream.name(),
                load.upstream.dataCentre(),
                state,
                load.reportedState));
        load.reportedState = state;
      }
    }
  }

  /** Returns the state of each upstream. */
  List<UpstreamState> states(long nowNanos) {
    return upstreams.stream().map(load -> state(load, nowNanos)).toList();
  }

  private UpstreamState state(UpstreamLoad load, long nowNanos) {
    return load.reportableAvailability()
        .withCold(coldUpstreams.isCold(load, nowNanos), coldUpstreams.requestsPerSecond())
        .state(nowNanos);
  }
}

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
  private final List<SlotAllocatorEffect> effects;

  AvailabilityReport(
      String service, Collection<UpstreamLoad> upstreams, List<SlotAllocatorEffect> effects) {
    this.service = service;
    this.upstreams = upstreams;
    this.effects = effects;
  }

  /** Reports the upstreams whose state has changed since the last call. */
  void reportChanges(long nowNanos) {
    for (UpstreamLoad load : upstreams) {
      UpstreamState state = load.reportableState(nowNanos);
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
    return upstreams.stream().map(load -> load.reportableState(nowNanos)).toList();
  }
}

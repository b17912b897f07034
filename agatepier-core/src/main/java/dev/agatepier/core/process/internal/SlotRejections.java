package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.Send;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Rejects requests that the slot allocator of a service cannot serve in time: names a data centre
 * that probably can, and advises when to come back.
 */
final class SlotRejections {

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final WorkspaceLedger ledger;
  private final WaitEstimates waits;
  private final UsableUpstreams usable;
  private final List<SlotAllocatorEffect> effects;
  private final OtherDataCentres otherDataCentres;
  private final RetryAdvice advice;
  private final ServedLevels levels = new ServedLevels();

  SlotRejections(
      String service,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      WaitEstimates waits,
      UsableUpstreams usable,
      AllocatorRegions regions,
      List<SlotAllocatorEffect> effects) {
    this.service = service;
    this.policy = policy;
    this.ledger = ledger;
    this.waits = waits;
    this.usable = usable;
    this.effects = effects;
    this.otherDataCentres = new OtherDataCentres(regions);
    this.advice = new RetryAdvice(policy.retryAfterMillis());
  }

  /** Returns the levels up to which data centres serve workspaces. */
  ServedLevels levels() {
    return levels;
  }

  /** Replaces the data centres whose upstreams are served, by the data centre of the allocator. */
  void setOtherDataCentres(Map<String, Set<String>> names) {
    otherDataCentres.replace(names);
  }

  /** Rejects a request that does not wait. */
  void reject(WaitingEntry entry, long nowNanos) {
    FairPosition position = ledger.position(entry.workspace());
    String alternative =
        levels
            .alternative(
                entry.call.request(),
                position.virtualService(),
                otherDataCentres.permitted(entry.allowedRegions),
                nowNanos)
            .orElse("");
    effects.add(
        new SlotAllocatorEffect.Rejected(
            service,
            entry.call.request(),
            position,
            entry.waitedMillis(nowNanos),
            entry.slackMillis(nowNanos),
            Math.round(waits.expectedMillis(entry, nowNanos)),
            Math.round(entry.workMillis),
            usable.countWithCapacity(entry, nowNanos),
            entry.call.underserved()));
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotRefused(
                service, entry.call.request(), retryAfterMillis(entry, nowNanos), alternative)));
  }

  private long retryAfterMillis(WaitingEntry entry, long nowNanos) {
    return policy.countsFromFirstAttempt()
        ? advice.recordRejected(entry.call.request(), entry.call.timeLeftMillis(), nowNanos)
        : policy.retryAfterMillis();
  }
}

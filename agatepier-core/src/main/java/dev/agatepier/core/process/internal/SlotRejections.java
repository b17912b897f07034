package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
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

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final WorkspaceLedger ledger;
  private final WaitEstimates waits;
  private final UsableUpstreams usable;
  private final List<SlotAllocatorEffect> effects;
  private final OtherDataCentres otherDataCentres;
  private final RetryPromises promises;
  private final ServedLevels levels = new ServedLevels();

  SlotRejections(
      String service,
      SlotAllocatorPolicy policy,
      WorkspaceLedger ledger,
      WaitEstimates waits,
      UsableUpstreams usable,
      AllocatorRegions regions,
      RetryPromises promises,
      List<SlotAllocatorEffect> effects) {
    this.service = service;
    this.policy = policy;
    this.ledger = ledger;
    this.waits = waits;
    this.usable = usable;
    this.effects = effects;
    this.otherDataCentres = new OtherDataCentres(regions);
    this.promises = promises;
  }

  /** Returns the levels up to which data centres serve workspaces. */
  ServedLevels levels() {
    return levels;
  }

  /** Replaces the places whose upstreams are served, by the data centre of the allocator. */
  void setOtherDataCentres(Map<String, Set<UpstreamPlace>> places) {
    otherDataCentres.replace(places);
  }

  /** Rejects a request that does not wait. */
  void reject(WaitingEntry entry, long nowNanos) {
    String alternative =
        levels
            .alternative(
                entry.call.request(),
                ledger.position(entry.workspace()).virtualService(),
                otherDataCentres.permitted(entry.requirements),
                nowNanos)
            .orElse("");
    respond(entry, retryAfterMillis(entry, alternative, nowNanos), alternative, nowNanos);
  }

  /**
   * Rejects a request whose caller has come back before its retry time, which stays: it is not
   * promised anything further.
   */
  void rejectEarly(WaitingEntry entry, long nowNanos) {
    respond(entry, (entry.returnNanos - nowNanos) / NANOS_PER_MILLI, "", nowNanos);
  }

  private void respond(
      WaitingEntry entry, long retryAfterMillis, String alternative, long nowNanos) {
    effects.add(
        new SlotAllocatorEffect.Rejected(
            service,
            entry.call.request(),
            ledger.position(entry.workspace()),
            entry.waitedMillis(nowNanos),
            entry.slackMillis(nowNanos),
            Math.round(waits.expectedMillis(entry, nowNanos)),
            Math.round(entry.workMillis),
            usable.countWithCapacity(entry, nowNanos),
            entry.call.underserved(),
            entry.callerReturn,
            retryAfterMillis));
    effects.add(
        new Send(
            entry.router,
            new SlotMessage.SlotRefused(
                service, entry.call.request(), retryAfterMillis, alternative)));
  }

  private long retryAfterMillis(WaitingEntry entry, String alternative, long nowNanos) {
    if (!entry.fromFirstAttempt) {
      return policy.retryAfterMillis();
    }
    if (!alternative.isEmpty() || !policy.retryPromises()) {
      return promises.advise(entry, nowNanos);
    }
    double inTimeMillis =
        entry.late
            ? 0
            : entry.slackMillis(nowNanos)
                - entry.countedMillis(entry.workMillis)
                - waits.marginMillis(entry);
    return promises.reject(entry, inTimeMillis, nowNanos);
  }
}

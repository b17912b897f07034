package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.UpstreamUnavailable;
import dev.agatepier.core.process.ServiceSlotsStatus.UpstreamStatus;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorEffect.Send;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.UpstreamState;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The upstreams of one service at its slot allocator. */
public final class ServiceUpstreams {

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final List<SlotAllocatorEffect> effects;
  private final Map<String, UpstreamLoad> upstreams = new HashMap<>();
  private final ColdUpstreams cold;
  private final AvailabilityReport availability;
  private OptionalLong memoryTokens = OptionalLong.empty();
  private double shortestGapMillis = Double.POSITIVE_INFINITY;
  private double maximumTokenMillis = Double.POSITIVE_INFINITY;

  ServiceUpstreams(String service, SlotAllocatorPolicy policy, List<SlotAllocatorEffect> effects) {
    this.service = service;
    this.policy = policy;
    this.effects = effects;
    this.cold = new ColdUpstreams(service, policy, upstreams.values());
    this.availability = new AvailabilityReport(service, upstreams.values(), cold, effects);
  }

  /** Returns all upstreams; a view of the current ones, which callers must not change. */
  Collection<UpstreamLoad> all() {
    return upstreams.values();
  }

  /** Returns an upstream by name; null if there is none. */
  UpstreamLoad find(String name) {
    return upstreams.get(name);
  }

  /** Returns whether upstreams state their pace or are cold at times. */
  boolean capacityVaries() {
    return cold.limited() || upstreams.values().stream().anyMatch(UpstreamLoad::usesEstimate);
  }

  /** Returns the limit of the requests to cold upstreams. */
  ColdUpstreams cold() {
    return cold;
  }

  /** Applies the engine profile and the warm-up of a table version. */
  void activate(Table table, long nowNanos) {
    cold.activate(table.service(service).flatMap(ServiceEntry::warmUp), nowNanos);
    Optional<EngineProfile> engine = table.service(service).flatMap(ServiceEntry::engine);
    memoryTokens =
        engine.map(profile -> OptionalLong.of(profile.memoryTokens())).orElse(OptionalLong.empty());
    shortestGapMillis = OutputGaps.shortestGapMillis(table, service);
    maximumTokenMillis =
        engine
            .map(profile -> OutputGaps.maximumTokenMillis(shortestGapMillis, profile))
            .orElse(Double.POSITIVE_INFINITY);
    upstreams.values().forEach(this::configure);
  }

  private void configure(UpstreamLoad upstream) {
    upstream.memoryTokens = memoryTokens;
    upstream.maximumTokenMillis = maximumTokenMillis;
    upstream.prefillRun.setAllowedGap(shortestGapMillis);
    upstream.evenLoad = policy.evenLoad();
  }

  /**
   * Replaces the upstreams; one that restarted or moved starts with no recorded load.
   *
   * @param listed the upstreams
   * @param evacuated names of the evacuated data centres
   * @param listedNanos when the list was activated
   * @param takenOver data centres whose slots another allocator may have granted until now
   */
  public void update(
      Collection<Upstream> listed,
      Set<String> evacuated,
      long listedNanos,
      Set<String> takenOver,
      long nowNanos) {
    Map<String, UpstreamLoad> previous = new HashMap<>(upstreams);
    upstreams.clear();
    for (Upstream upstream : listed) {
      UpstreamLoad earlier = previous.get(upstream.name());
      UpstreamLoad load = earlier;
      if (earlier == null || !earlier.isSameProcess(upstream)) {
        load = new UpstreamLoad(upstream, nowNanos);
        configure(load);
        cold.onProcessReplaced(load, earlier);
      }
      load.upstream = upstream;
      load.evacuated = evacuated.contains(upstream.dataCentre());
      upstreams.put(upstream.name(), load);
      load.warmUp.onListed(upstream.cold(), listedNanos);
      if (takenOver.contains(upstream.dataCentre())) {
        cold.onTakenOver(load, nowNanos);
      }
    }
  }

  /** Sets the share of each upstream's slots that this allocator may grant, up to 1. */
  public void setShare(double share) {
    upstreams.values().forEach(upstream -> upstream.share = share);
  }

  /**
   * Sets what limits the use of cold upstreams beside their own rate.
   *
   * @param allocating whether routers of this data centre use this allocator
   * @param share share of the usual rate that this allocator may use, up to 1
   */
  public void setColdLimit(boolean allocating, double share, long nowNanos) {
    cold.setAllocating(allocating, nowNanos);
    cold.setShare(share);
  }

  /** Treats the upstreams of data centres as cold whose evacuation has ended. */
  public void onEvacuationEnded(Set<String> dataCentres, long nowNanos) {
    cold.onEvacuationEnded(dataCentres, nowNanos);
  }

  /** Applies what an upstream has said to a router. */
  void onUnavailable(String router, UpstreamUnavailable message, long nowNanos) {
    UpstreamLoad load = upstreams.get(message.upstream());
    if (load != null) {
      load.onUnavailable(router, message, nowNanos);
    }
  }

  /** Reports the upstreams whose state has changed since the last call. */
  public void reportAvailability(long nowNanos) {
    availability.reportChanges(nowNanos);
  }

  /** Returns the state of each upstream. */
  public List<UpstreamState> states(long nowNanos) {
    return availability.states(nowNanos);
  }

  /** Returns the status of each upstream for the administration interface. */
  List<UpstreamStatus> status(SlotRule rule, long nowNanos) {
    return upstreams.values().stream().map(load -> load.status(rule, nowNanos)).toList();
  }

  /** Takes over the estimates as of now. */
  void refreshEstimates(long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.refresh(nowNanos));
  }

  /** Raises the expected output of the responses that have generated more. */
  void updateGenerated(long nowNanos) {
    upstreams.values().forEach(upstream -> upstream.updateGenerated(nowNanos));
  }

  /** Updates the stalled upstreams, and reports the grants to cold ones. */
  void review(long nowNanos) {
    upstreams.values().forEach(upstream -> updateStalled(upstream, nowNanos));
    cold.report(effects, nowNanos);
  }

  /** Marks an upstream as stalled, and recalls requests from it, if it makes no progress. */
  private void updateStalled(UpstreamLoad upstream, long nowNanos) {
    boolean stalled = upstream.millisOverdue(nowNanos) > policy.stallMillis();
    if (stalled == upstream.stalled) {
      return;
    }
    upstream.stalled = stalled;
    effects.add(
        new SlotAllocatorEffect.UpstreamUsabilityChanged(
            upstream.upstream.name(),
            !stalled,
            "stalled",
            (long) upstream.millisSinceProgress(nowNanos)));
    if (stalled) {
      upstream.allocations().stream()
          .filter(allocation -> !allocation.responseStarted && allocation.call.repeatable())
          .forEach(allocation -> recall(allocation, upstream));
    }
  }

  private void recall(SlotAllocation allocation, UpstreamLoad upstream) {
    effects.add(
        new Send(
            allocation.router,
            new SlotMessage.SlotRecalled(
                service, allocation.call.request(), upstream.upstream.name())));
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.version.WarmUp;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Limits the requests to the cold upstreams of one service at its slot allocator. Without a limit
 * no upstream is cold.
 */
final class ColdUpstreams {

  private final String service;
  private final SlotAllocatorPolicy policy;
  private final Collection<UpstreamLoad> upstreams;

  /** The limit; null for none. */
  private ColdLimit limit;

  private double share = 1;
  private boolean allocating;
  private int reportedGrants;

  /**
   * Creates the state of a service without a limit.
   *
   * @param upstreams the upstreams of the service, which may change
   */
  ColdUpstreams(String service, SlotAllocatorPolicy policy, Collection<UpstreamLoad> upstreams) {
    this.service = service;
    this.policy = policy;
    this.upstreams = upstreams;
  }

  /** Applies the warm-up of a table version. Grants before the first limit are unknown. */
  void activate(Optional<WarmUp> warmUp, long nowNanos) {
    boolean started = limit == null;
    limit = ColdLimit.of(policy, warmUp).orElse(null);
    if (started) {
      upstreams.forEach(upstream -> fill(upstream, nowNanos));
    }
  }

  /** Returns whether requests to cold upstreams are limited. */
  boolean limited() {
    return limit != null;
  }

  /** Records that another allocator may have granted the slots of an upstream until now. */
  void onTakenOver(UpstreamLoad upstream, long nowNanos) {
    fill(upstream, nowNanos);
  }

  /**
   * Counts the grants for an earlier process of an upstream; routers may use them for the new one.
   *
   * @param earlier the upstream before; null for none
   */
  void onProcessReplaced(UpstreamLoad upstream, UpstreamLoad earlier) {
    if (limit != null && earlier != null) {
      upstream.warmUp.grants.addAll(earlier.warmUp.grants);
    }
  }

  /**
   * Sets whether this allocator is the one of its data centre; else it uses no cold upstream. One
   * that is new treats every upstream as if it had just granted its share.
   */
  void setAllocating(boolean newValue, long nowNanos) {
    if (newValue && !allocating) {
      upstreams.forEach(upstream -> fill(upstream, nowNanos));
    }
    allocating = newValue;
  }

  /** Sets the share of the quota that this allocator may grant, up to 1. */
  void setShare(double newShare) {
    share = newShare;
  }

  /** Treats the upstreams of data centres as cold whose evacuation has ended. */
  void onEvacuationEnded(Set<String> dataCentres, long nowNanos) {
    upstreams.stream()
        .filter(upstream -> dataCentres.contains(upstream.upstream.dataCentre()))
        .forEach(upstream -> upstream.warmUp.onEvacuationEnded(nowNanos));
  }

  boolean isCold(UpstreamLoad upstream, long nowNanos) {
    return limit != null && upstream.warmUp.isCold(limit, nowNanos);
  }

  /** Returns the rate that a cold upstream tolerates, in requests a second; 0 without a limit. */
  double requestsPerSecond() {
    return limit == null ? 0 : limit.requestsPerSecond();
  }

  /** Returns whether a cold upstream may get another request now. */
  boolean permits(UpstreamLoad upstream, long nowNanos) {
    return allocating
        && upstream.pending() < ColdLimit.MAX_PENDING
        && upstream.warmUp.grants.permits(limit.quota(share), nowNanos);
  }

  void recordGrant(UpstreamLoad upstream, long nowNanos) {
    if (limit != null) {
      upstream.warmUp.grants.record(limit.bound(), nowNanos);
    }
  }

  /** Returns the time that a cold upstream takes for one request, in milliseconds. */
  double requestMillis() {
    return limit.requestMillis();
  }

  /** Returns the time between two grants to one cold upstream at the quota, in milliseconds. */
  double grantMillis() {
    return ColdGrantWindow.WINDOW_NANOS / 1e6 / Math.max(1, limit.quota(share));
  }

  /** Returns the share of the usual backlog that an upstream may have. */
  double backlogShare(UpstreamLoad upstream, long nowNanos) {
    return limit == null ? 1 : upstream.warmUp.backlogShare(limit, nowNanos);
  }

  /** Adds the effect that reports the grants of the last second, if their number has changed. */
  void report(List<SlotAllocatorEffect> effects, long nowNanos) {
    int most = 0;
    for (UpstreamLoad upstream : upstreams) {
      if (isCold(upstream, nowNanos)) {
        most = Math.max(most, upstream.warmUp.grants.countOfLastSecond(nowNanos));
      }
    }
    if (most != reportedGrants) {
      reportedGrants = most;
      int bound = limit == null ? 0 : limit.bound();
      effects.add(new SlotAllocatorEffect.ColdGrants(service, most, bound));
    }
  }

  private void fill(UpstreamLoad upstream, long nowNanos) {
    if (limit != null) {
      upstream.warmUp.grants.fill(limit.bound(), nowNanos);
    }
  }
}

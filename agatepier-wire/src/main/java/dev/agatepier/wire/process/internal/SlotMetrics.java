package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.CallerReturn;
import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.wire.process.internal.WorkspaceMetrics.Pair;
import java.util.Map;

/**
 * Cost and virtual service of workspaces at the slot allocator, per pair of workspace and service,
 * which show whether one gets less than its share. Beyond the maximum number of pairs, the least
 * recently used one is evicted with its statistics. Confined to the slot allocator's task.
 */
final class SlotMetrics {

  private static final String GRANTED = "granted-cost";
  private static final String REJECTED = "rejected-slots";
  private static final String COLD_GRANTS = "cold-grants";
  private static final String COLD_BOUND = "cold-bound";
  private static final String SHARED_TOKENS = "shared-tokens";
  private static final String SHARED_PREFILLED = "shared-tokens-prefilled";
  private static final String SHARED_REPEATED = "shared-tokens-prefilled-again";
  private static final String VIRTUAL_SERVICE = "virtual-service";

  private final MetricRegistry registry;
  private final Map<Pair, PairStatistics> pairs;

  /** Statistics of the decisions on one pair. */
  private record PairStatistics(Histogram virtualService, Counter granted, Counter rejected) {}

  SlotMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.pairs = new LeastRecentlyUsedMap<>(WorkspaceMetrics.MAXIMUM_PAIRS, this::onEvicted);
  }

  void recordGranted(SlotAllocatorEffect.Placed grant) {
    recordDecision(grant.service(), grant.position()).granted.inc(Math.round(grant.cost()));
    if (grant.sharedTokens() > 0) {
      counter(grant.service(), SHARED_TOKENS).inc(grant.sharedTokens());
      counter(grant.service(), SHARED_PREFILLED).inc(grant.sharedUnreadTokens());
      counter(grant.service(), SHARED_REPEATED).inc(grant.repeatedSharedTokens());
    }
  }

  void recordRejected(SlotAllocatorEffect.Rejected rejection) {
    recordDecision(rejection.service(), rejection.position()).rejected.inc();
    if (rejection.callerReturn() != CallerReturn.NONE) {
      registry
          .counter(
              "slots."
                  + rejection.service()
                  + ".rejected-returns-"
                  + rejection.callerReturn().code())
          .inc();
    }
  }

  void recordColdGrants(SlotAllocatorEffect.ColdGrants grants) {
    gauge(grants.service(), COLD_GRANTS).setValue(grants.most());
    gauge(grants.service(), COLD_BOUND).setValue(grants.bound());
  }

  private Counter counter(String service, String statistic) {
    return registry.counter("service." + service + "." + statistic);
  }

  private DefaultSettableGauge<Integer> gauge(String service, String statistic) {
    return registry.gauge(
        "slots." + service + "." + statistic, () -> new DefaultSettableGauge<>(0));
  }

  /** Records by how much a response started earlier or later than expected. */
  void recordPrediction(SlotAllocatorEffect.StartPredicted prediction) {
    String prefix = "service." + prediction.service() + ".start-";
    long difference = prediction.observedMillis() - prediction.expectedMillis();
    Histograms.get(registry, prefix + (difference < 0 ? "early" : "late") + "-millis")
        .update(Math.abs(difference));
  }

  private PairStatistics recordDecision(String service, FairPosition position) {
    Pair pair = new Pair(position.workspace(), service);
    PairStatistics statistics = pairs.computeIfAbsent(pair, this::newStatistics);
    statistics.virtualService.update(Math.round(position.virtualService()));
    return statistics;
  }

  private PairStatistics newStatistics(Pair pair) {
    return new PairStatistics(
        Histograms.get(registry, name(pair, VIRTUAL_SERVICE)),
        registry.counter(name(pair, GRANTED)),
        registry.counter(name(pair, REJECTED)));
  }

  private void onEvicted(Pair pair) {
    registry.remove(name(pair, VIRTUAL_SERVICE));
    registry.remove(name(pair, GRANTED));
    registry.remove(name(pair, REJECTED));
  }

  private static String name(Pair pair, String statistic) {
    return "slots." + pair.workspace() + "." + pair.service() + "." + statistic;
  }
}

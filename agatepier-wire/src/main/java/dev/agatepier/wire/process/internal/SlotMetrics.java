package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
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
  private static final String VIRTUAL_SERVICE = "virtual-service";

  private final MetricRegistry registry;
  private final Map<Pair, Histogram> pairs;

  SlotMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.pairs = new LeastRecentlyUsedMap<>(WorkspaceMetrics.MAXIMUM_PAIRS, this::onEvicted);
  }

  void recordGranted(SlotAllocatorEffect.Placed grant) {
    Pair pair = new Pair(grant.position().workspace(), grant.service());
    virtualService(pair).update(Math.round(grant.position().virtualService()));
    registry.counter(name(pair, GRANTED)).inc(Math.round(grant.cost()));
  }

  void recordRejected(SlotAllocatorEffect.Rejected rejection) {
    Pair pair = new Pair(rejection.position().workspace(), rejection.service());
    virtualService(pair).update(Math.round(rejection.position().virtualService()));
    registry.counter(name(pair, REJECTED)).inc();
  }

  private Histogram virtualService(Pair pair) {
    return pairs.computeIfAbsent(
        pair,
        newPair ->
            registry.histogram(
                name(newPair, VIRTUAL_SERVICE), () -> new Histogram(new HistogramReservoir())));
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

package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.process.WorkspacesStatus.Percentiles;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Waiting times and results of requests per pair of workspace and service. Beyond the maximum
 * number of pairs, the least recently used one is evicted with its statistics. Confined to the
 * request task of the router.
 */
final class WorkspaceMetrics {

  /** Maximum number of pairs. */
  static final int MAXIMUM_PAIRS = 256;

  /**
   * Pair of a workspace and a service.
   *
   * @param workspace the workspace
   * @param service the service
   */
  record Pair(String workspace, String service) {}

  /** Statistics of ended requests of one pair. */
  private static final class PairStatistics {
    private final Histogram waitMillis;
    private final SortedMap<String, Long> reasons = new TreeMap<>();
    private long completed;

    PairStatistics(Histogram waitMillis) {
      this.waitMillis = waitMillis;
    }
  }

  private final MetricRegistry registry;
  private final Map<Pair, PairStatistics> pairs;

  WorkspaceMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.pairs = new LeastRecentlyUsedMap<>(MAXIMUM_PAIRS, this::onEvicted);
  }

  /** Records the end of a request; a completed one has no reason. */
  void recordEnded(Optional<Reason> reason, RequestMetadata metadata) {
    Pair pair = new Pair(metadata.workspace(), metadata.service());
    PairStatistics statistics = pairs.computeIfAbsent(pair, this::newStatistics);
    reason.ifPresentOrElse(
        cause -> statistics.reasons.merge(cause.code(), 1L, Long::sum),
        () -> statistics.completed++);
    if (metadata.attempts() > 0) {
      statistics.waitMillis.update(TimeUnit.NANOSECONDS.toMillis(metadata.waitNanos()));
    }
  }

  /** Returns the pairs that have statistics. */
  Set<Pair> pairs() {
    return Set.copyOf(pairs.keySet());
  }

  /** Returns the number of completed requests of a pair. */
  long completed(Pair pair) {
    return pairs.containsKey(pair) ? pairs.get(pair).completed : 0;
  }

  /** Returns the number of other requests of a pair by reason. */
  SortedMap<String, Long> reasons(Pair pair) {
    return pairs.containsKey(pair) ? new TreeMap<>(pairs.get(pair).reasons) : new TreeMap<>();
  }

  /** Returns percentiles of the waiting time of a pair, in milliseconds. */
  Percentiles waitPercentiles(Pair pair) {
    if (!pairs.containsKey(pair)) {
      return Percentiles.NONE;
    }
    Histogram waits = pairs.get(pair).waitMillis;
    return new Percentiles(
        waits.getCount(),
        waits.getSnapshot().getMedian(),
        waits.getSnapshot().get95thPercentile(),
        waits.getSnapshot().get99thPercentile());
  }

  private PairStatistics newStatistics(Pair pair) {
    return new PairStatistics(Histograms.get(registry, histogramName(pair)));
  }

  private void onEvicted(Pair pair) {
    registry.remove(histogramName(pair));
    registry.counter("workspaces.forgotten").inc();
  }

  private static String histogramName(Pair pair) {
    return "workspace." + pair.workspace() + "." + pair.service() + ".wait-millis";
  }
}

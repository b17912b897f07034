package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.process.WorkspacesStatus.Percentiles;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Waits and ends of requests for each workspace at a service. Beyond a bound, the pair whose last
 * request is the oldest makes room and starts again from nothing. The router's task owns it.
 */
final class WorkspaceMetrics {

  /** Pairs of workspace and service that are kept. */
  static final int MAXIMUM_PAIRS = 256;

  /**
   * What is kept for one workspace at one service.
   *
   * @param workspace the workspace
   * @param service the service
   */
  record Pair(String workspace, String service) {}

  /** What ended for one pair. */
  private static final class PairStatistics {
    private final Histogram waits;
    private final SortedMap<String, Long> reasons = new TreeMap<>();
    private long completed;

    PairStatistics(Histogram waits) {
      this.waits = waits;
    }
  }

  private final MetricRegistry registry;
  private final Map<Pair, PairStatistics> pairs = new LinkedHashMap<>(16, 0.75f, true);

  WorkspaceMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Records the end of a request; a completed one has no reason. */
  void recordEnded(Optional<Reason> reason, RequestMetadata facts) {
    Pair pair = new Pair(facts.workspace(), facts.service());
    PairStatistics ends = pairs.computeIfAbsent(pair, this::create);
    reason.ifPresentOrElse(
        why -> ends.reasons.merge(why.code(), 1L, Long::sum), () -> ends.completed++);
    if (facts.attempts() > 0) {
      ends.waits.update(TimeUnit.NANOSECONDS.toMillis(facts.waitNanos()));
    }
    if (pairs.size() > MAXIMUM_PAIRS) {
      forget(pairs.keySet().iterator().next());
    }
  }

  /** Returns the pairs that are kept. */
  Set<Pair> pairs() {
    return Set.copyOf(pairs.keySet());
  }

  /** Returns how many requests of a pair were answered whole. */
  long completed(Pair pair) {
    return pairs.containsKey(pair) ? pairs.get(pair).completed : 0;
  }

  /** Returns how many requests of a pair were not, by reason. */
  SortedMap<String, Long> reasons(Pair pair) {
    return pairs.containsKey(pair) ? new TreeMap<>(pairs.get(pair).reasons) : new TreeMap<>();
  }

  /** Returns percentiles of the time that a pair's requests waited. */
  Percentiles waitPercentiles(Pair pair) {
    if (!pairs.containsKey(pair)) {
      return Percentiles.NONE;
    }
    Histogram waits = pairs.get(pair).waits;
    return new Percentiles(
        waits.getCount(),
        waits.getSnapshot().getMedian(),
        waits.getSnapshot().get95thPercentile(),
        waits.getSnapshot().get99thPercentile());
  }

  private PairStatistics create(Pair pair) {
    return new PairStatistics(
        registry.histogram(name(pair), () -> new Histogram(new HistogramReservoir())));
  }

  private void forget(Pair pair) {
    pairs.remove(pair);
    registry.remove(name(pair));
    registry.counter("workspaces.forgotten").inc();
  }

  private static String name(Pair pair) {
    return "workspace." + pair.workspace() + "." + pair.service() + ".wait-millis";
  }
}

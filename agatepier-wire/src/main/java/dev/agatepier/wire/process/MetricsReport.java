package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Response body of {@code GET /v1/metrics}.
 *
 * @param counters counters by name
 * @param gauges gauges by name
 * @param histograms histograms by name
 */
public record MetricsReport(
    SortedMap<String, Long> counters,
    SortedMap<String, Object> gauges,
    SortedMap<String, HistogramReport> histograms) {

  /**
   * Summary of a histogram.
   *
   * @param count number of recorded values
   * @param minimum smallest value
   * @param mean mean value
   * @param p50 median
   * @param p95 95th percentile
   * @param p99 99th percentile
   * @param maximum largest value
   */
  public record HistogramReport(
      long count, long minimum, double mean, double p50, double p95, double p99, long maximum) {}

  /** Returns the current values of a registry. */
  public static MetricsReport of(MetricRegistry registry) {
    SortedMap<String, Long> counters = new TreeMap<>();
    registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
    SortedMap<String, Object> gauges = new TreeMap<>();
    registry.getGauges().forEach((name, gauge) -> gauges.put(name, gauge.getValue()));
    SortedMap<String, HistogramReport> histograms = new TreeMap<>();
    registry
        .getHistograms()
        .forEach((name, histogram) -> histograms.put(name, report(histogram.getSnapshot())));
    return new MetricsReport(counters, gauges, histograms);
  }

  private static HistogramReport report(Snapshot snapshot) {
    return new HistogramReport(
        snapshot.size(),
        snapshot.getMin(),
        snapshot.getMean(),
        snapshot.getMedian(),
        snapshot.get95thPercentile(),
        snapshot.get99thPercentile(),
        snapshot.getMax());
  }
}

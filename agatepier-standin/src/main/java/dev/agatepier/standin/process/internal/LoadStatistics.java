package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Collects the results of a load; owned by the load's task. */
final class LoadStatistics {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MAXIMUM_REASONS = 50;
  private static final double MICROS_PER_MILLI = 1_000;

  /**
   * Percentiles of a duration.
   *
   * @param count number of values
   * @param p50 median, in milliseconds
   * @param p95 95th percentile, in milliseconds
   * @param p99 99th percentile, in milliseconds
   * @param max largest value, in milliseconds
   */
  record Times(long count, double p50, double p95, double p99, double max) {
    static Times of(Histogram histogram) {
      return new Times(
          histogram.getTotalCount(),
          histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
          histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
          histogram.getMaxValue() / MICROS_PER_MILLI);
    }
  }

  /** Results of one workspace; the share is that of the total cost. */
  record WorkspaceResult(
      Map<CallOutcome, Long> outcomes, long cost, double share, Times firstByte, Times total) {}

  /** Results of all calls and of each workspace. */
  record Result(
      Map<CallOutcome, Long> outcomes,
      Map<String, Long> reasons,
      Times firstByte,
      Times total,
      Times lateness,
      Map<String, WorkspaceResult> workspaces) {}

  private static final class Totals {
    final Map<CallOutcome, Long> outcomes = new EnumMap<>(CallOutcome.class);
    final Histogram firstByte = new Histogram(SIGNIFICANT_DIGITS);
    final Histogram total = new Histogram(SIGNIFICANT_DIGITS);
    long cost;

    void add(CallResult result) {
      outcomes.merge(result.outcome(), 1L, Long::sum);
      cost += result.cost();
      if (result.outcome() == CallOutcome.COMPLETED) {
        firstByte.recordValue(TimeUnit.NANOSECONDS.toMicros(result.waitNanos()));
        total.recordValue(TimeUnit.NANOSECONDS.toMicros(result.totalNanos()));
      }
    }
  }

  private final Map<String, Totals> workspaces = new LinkedHashMap<>();
  private final Map<String, Long> reasons = new TreeMap<>();
  private final Totals all = new Totals();
  private final Histogram lateness = new Histogram(SIGNIFICANT_DIGITS);

  LoadStatistics(List<String> names) {
    names.forEach(name -> workspaces.put(name, new Totals()));
  }

  /** Adds a result, whose times are measured from the intended start of the call. */
  void add(CallResult result, long latenessNanos) {
    workspaces.get(result.workspace()).add(result);
    all.add(result);
    lateness.recordValue(TimeUnit.NANOSECONDS.toMicros(Math.max(0, latenessNanos)));
    if (result.outcome() != CallOutcome.COMPLETED && reasons.size() < MAXIMUM_REASONS) {
      reasons.merge(result.outcome() + " " + result.reason(), 1L, Long::sum);
    }
  }

  Result result() {
    Map<String, WorkspaceResult> results = new LinkedHashMap<>();
    workspaces.forEach(
        (name, totals) ->
            results.put(
                name,
                new WorkspaceResult(
                    totals.outcomes,
                    totals.cost,
                    all.cost == 0 ? 0 : (double) totals.cost / all.cost,
                    Times.of(totals.firstByte),
                    Times.of(totals.total))));
    return new Result(
        all.outcomes,
        reasons,
        Times.of(all.firstByte),
        Times.of(all.total),
        Times.of(lateness),
        results);
  }
}

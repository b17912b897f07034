package dev.agatepier.wire.process.internal;

import dev.agatepier.wire.process.MetricsReport;
import dev.agatepier.wire.process.MetricsReport.HistogramReport;
import java.util.Locale;

/** Writes metrics in the Prometheus text format: lines of a name, labels and a value. */
final class PrometheusTextFormat {

  private static final String PREFIX = "agatepier_";

  private PrometheusTextFormat() {}

  /** Returns all values of a report except gauges that are not numbers. */
  static String format(MetricsReport report) {
    StringBuilder text = new StringBuilder();
    report.counters().forEach((name, value) -> appendLine(text, name, "", value));
    report
        .gauges()
        .forEach(
            (name, value) -> {
              if (value instanceof Number number) {
                appendLine(text, name, "", number);
              }
            });
    report.histograms().forEach((name, histogram) -> appendHistogram(text, name, histogram));
    return text.toString();
  }

  private static void appendHistogram(StringBuilder text, String name, HistogramReport histogram) {
    appendLine(text, name, "{quantile=\"0.5\"}", histogram.p50());
    appendLine(text, name, "{quantile=\"0.95\"}", histogram.p95());
    appendLine(text, name, "{quantile=\"0.99\"}", histogram.p99());
    appendLine(text, name + ".max", "", histogram.maximum());
    appendLine(text, name + ".count", "", histogram.count());
  }

  private static void appendLine(StringBuilder text, String name, String labels, Number value) {
    text.append(PREFIX)
        .append(name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
        .append(labels)
        .append(' ')
        .append(value)
        .append('\n');
  }
}

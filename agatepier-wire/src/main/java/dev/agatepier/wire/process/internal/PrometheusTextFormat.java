package dev.agatepier.wire.process.internal;

import dev.agatepier.wire.process.MetricsReport;
import dev.agatepier.wire.process.MetricsReport.HistogramReport;
import java.util.Locale;

/** Writes metrics as lines of a name, labels and a figure, as scrapers read them. */
final class PrometheusTextFormat {

  private static final String PREFIX = "agatepier_";

  private PrometheusTextFormat() {}

  /** Returns every figure of a report; gauges that are no numbers are left out. */
  static String of(MetricsReport report) {
    StringBuilder text = new StringBuilder();
    report.counters().forEach((name, value) -> line(text, name, "", value));
    report
        .gauges()
        .forEach(
            (name, value) -> {
              if (value instanceof Number number) {
                line(text, name, "", number);
              }
            });
    report.histograms().forEach((name, histogram) -> histogram(text, name, histogram));
    return text.toString();
  }

  private static void histogram(StringBuilder text, String name, HistogramReport histogram) {
    line(text, name, "{quantile=\"0.5\"}", histogram.p50());
    line(text, name, "{quantile=\"0.95\"}", histogram.p95());
    line(text, name, "{quantile=\"0.99\"}", histogram.p99());
    line(text, name + ".max", "", histogram.maximum());
    line(text, name + ".count", "", histogram.count());
  }

  private static void line(StringBuilder text, String name, String labels, Number value) {
    text.append(PREFIX)
        .append(name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9_]", "_"))
        .append(labels)
        .append(' ')
        .append(value)
        .append('\n');
  }
}

package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/** The histograms of the process, which record all values since its start. */
final class Histograms {

  private Histograms() {}

  /** Returns the histogram with a name; registers it if there is none. */
  static Histogram get(MetricRegistry registry, String name) {
    return registry.histogram(name, () -> new Histogram(new HistogramReservoir()));
  }
}

package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.request.Reason;

/** Counts what ends at the callers' listener, before the decision hears of it. */
public final class CallerMetrics {

  private final MetricRegistry registry;
  private final Counter connectionsRefused;

  /** Creates metrics in a registry. */
  public CallerMetrics(MetricRegistry registry) {
    this.registry = registry;
    connectionsRefused = registry.counter("callers.connections-refused");
  }

  /** A request was refused before the decision heard of it. */
  public void recordRejected(Reason reason) {
    registry.counter("callers.refused." + reason.code()).inc();
  }

  /** A connection was closed because there were too many. */
  public void recordConnectionRejected() {
    connectionsRefused.inc();
  }
}

package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.request.Reason;

/** Counts connections and requests that a front end rejects before the decision receives them. */
public final class CallerMetrics {

  private final MetricRegistry registry;
  private final Counter connectionsRejected;

  /** Creates the metrics in a registry. */
  public CallerMetrics(MetricRegistry registry) {
    this.registry = registry;
    connectionsRejected = registry.counter("callers.connections-refused");
  }

  /** Counts a request that was rejected before the decision received it. */
  public void recordRejected(Reason reason) {
    registry.counter("callers.refused." + reason.code()).inc();
  }

  /** Counts a connection that was closed because too many were open. */
  public void recordConnectionRejected() {
    connectionsRejected.inc();
  }
}

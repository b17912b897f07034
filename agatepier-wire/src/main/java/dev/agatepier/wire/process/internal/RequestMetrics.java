package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.OriginSource;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Counters and histograms of ended requests, per service, per route and per workspace and service.
 */
public final class RequestMetrics {

  private final MetricRegistry registry;
  private final WorkspaceMetrics workspaces;
  private final RouteMetrics routes;

  /** Creates the metrics in a registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.workspaces = new WorkspaceMetrics(registry);
    this.routes = new RouteMetrics(registry);
  }

  /** Records the end of a request. */
  public void recordEnded(Outcome outcome, Optional<Reason> reason, RequestMetadata metadata) {
    String service = "service." + metadata.service() + ".";
    registry.counter(service + "outcome." + outcome.code()).inc();
    reason.ifPresent(cause -> registry.counter(service + "reason." + cause.code()).inc());
    registry.counter(service + "attempts").inc(metadata.attempts());
    if (outcome == Outcome.COMPLETED) {
      histogram(service + "first-byte-millis").update(toMillis(metadata.firstByteNanos()));
      histogram(service + "total-millis").update(toMillis(metadata.totalNanos()));
    }
    if (metadata.attempts() > 0) {
      histogram(service + "wait-millis").update(toMillis(metadata.waitNanos()));
    }
    workspaces.recordEnded(reason, metadata);
    routes.recordEnded(outcome, reason, metadata);
  }

  /** Counts a call that resumes a stream by how the software version that began it was found. */
  void recordResumption(OriginSource source) {
    registry.counter("resumptions." + source.code()).inc();
  }

  /** Returns the metrics per workspace and service. */
  WorkspaceMetrics workspaces() {
    return workspaces;
  }

  private Histogram histogram(String name) {
    return Histograms.get(registry, name);
  }

  private static long toMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}

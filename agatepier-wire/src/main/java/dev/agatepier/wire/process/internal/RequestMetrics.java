package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.OriginSource;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEffect.StreamContinued;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Counters and histograms of ended requests, per service, per route and per workspace and service,
 * and counters of the streams that are continued.
 */
public final class RequestMetrics {

  private final MetricRegistry registry;
  private final WorkspaceMetrics workspaces;
  private final RouteMetrics routes;
  private final Counter continuedInOrder;
  private final Counter missingEvents;
  private final Counter repeatedEvents;

  /** Creates the metrics in a registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.workspaces = new WorkspaceMetrics(registry);
    this.routes = new RouteMetrics(registry);
    continuedInOrder = registry.counter("upstreams.continued-in-order");
    missingEvents = registry.counter("upstreams.continued-missing-events");
    repeatedEvents = registry.counter("upstreams.continued-repeated-events");
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

  /** Counts an attempt that continues a stream by how its first event follows the last before. */
  void recordContinuation(StreamContinued continued) {
    if (continued.missing() > 0) {
      missingEvents.inc();
    } else if (continued.repeated() > 0) {
      repeatedEvents.inc();
    } else {
      continuedInOrder.inc();
    }
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

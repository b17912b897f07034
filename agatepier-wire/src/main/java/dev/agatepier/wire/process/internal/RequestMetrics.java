package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Counts and histograms of ended requests, for each service and for each workspace at it. */
public final class RequestMetrics {

  private final MetricRegistry registry;
  private final WorkspaceMetrics workspaces;

  /** Creates metrics in a registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.workspaces = new WorkspaceMetrics(registry);
  }

  /** Records the end of a request. */
  public void recordEnded(Outcome outcome, Optional<Reason> reason, RequestMetadata facts) {
    String service = "service." + facts.service() + ".";
    registry.counter(service + "outcome." + outcome.code()).inc();
    reason.ifPresent(why -> registry.counter(service + "reason." + why.code()).inc());
    registry.counter(service + "attempts").inc(facts.attempts());
    if (outcome == Outcome.COMPLETED) {
      histogram(service + "first-byte-millis").update(millis(facts.firstByteNanos()));
      histogram(service + "total-millis").update(millis(facts.totalNanos()));
    }
    if (facts.attempts() > 0) {
      histogram(service + "wait-millis").update(millis(facts.waitNanos()));
    }
    workspaces.recordEnded(reason, facts);
  }

  /** Returns what is kept for each workspace at a service. */
  WorkspaceMetrics workspaces() {
    return workspaces;
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new HistogramReservoir()));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}

package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RequestFacts;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.process.WorkspacesStatus.Percentiles;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Counts and histograms of ended requests, for each service and for each workspace at a service.
 * Beyond a bound, further workspaces share one histogram.
 */
public final class RequestMetrics {

  /** Pairs of workspace and service that get a histogram of their own. */
  private static final int MAXIMUM_PAIRS = 256;

  private static final String SHARED = "(other)";

  private final MetricRegistry registry;
  private final Set<String> pairs = new HashSet<>();

  /** Creates metrics in a registry. */
  public RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  /** Records the end of a request. */
  public void ended(Outcome outcome, Optional<Reason> reason, RequestFacts facts) {
    String service = "service." + facts.service() + ".";
    registry.counter(service + "outcome." + outcome.code()).inc();
    reason.ifPresent(why -> registry.counter(service + "reason." + why.code()).inc());
    registry.counter(service + "attempts").inc(facts.attempts());
    if (outcome == Outcome.COMPLETED) {
      histogram(service + "first-byte-millis").update(millis(facts.firstByteNanos()));
      histogram(service + "total-millis").update(millis(facts.totalNanos()));
    }
    if (facts.attempts() > 0) {
      waits(facts.workspace(), facts.service()).update(millis(facts.waitNanos()));
    }
  }

  /** Returns percentiles of the time that a workspace's requests waited at a service. */
  public Percentiles waitPercentiles(String workspace, String service) {
    Histogram waits = waits(workspace, service);
    return new Percentiles(
        waits.getCount(),
        waits.getSnapshot().getMedian(),
        waits.getSnapshot().get95thPercentile(),
        waits.getSnapshot().get99thPercentile());
  }

  private Histogram waits(String workspace, String service) {
    String pair = workspace + "." + service;
    if (!pairs.contains(pair) && pairs.size() >= MAXIMUM_PAIRS) {
      return histogram("workspace." + SHARED + "." + service + ".wait-millis");
    }
    pairs.add(pair);
    return histogram("workspace." + pair + ".wait-millis");
  }

  private Histogram histogram(String name) {
    return registry.histogram(name, () -> new Histogram(new HistogramReservoir()));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}

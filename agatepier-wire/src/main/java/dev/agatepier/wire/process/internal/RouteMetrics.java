package dev.agatepier.wire.process.internal;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Sizes of ended requests by route and result, which show whether requests of some size are served
 * less often than others. Beyond the maximum number of routes, the least recently used one is
 * evicted with its histograms. Confined to the request task of the router.
 */
final class RouteMetrics {

  /** Maximum number of routes. */
  static final int MAXIMUM_ROUTES = 64;

  private final MetricRegistry registry;
  private final Map<String, Map<Result, Histogram>> routes;

  /** What became of a request. */
  private enum Result {
    /** The caller received the complete response. */
    COMPLETED,
    /** The request did not run, and its caller can retry it. */
    REJECTED,
    /** The deadline passed, or the caller disconnected. */
    EXPIRED,
    /** Any other failure. */
    FAILED;

    static Result of(Outcome outcome, Optional<Reason> reason) {
      if (outcome == Outcome.COMPLETED) {
        return COMPLETED;
      }
      if (reason
          .filter(cause -> cause == Reason.DEADLINE || cause == Reason.CALLER_GONE)
          .isPresent()) {
        return EXPIRED;
      }
      return outcome == Outcome.NOT_RUN ? REJECTED : FAILED;
    }
  }

  RouteMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.routes = new LeastRecentlyUsedMap<>(MAXIMUM_ROUTES, this::onEvicted);
  }

  /** Records the end of a request; one without a prompt has no size and is ignored. */
  void recordEnded(Outcome outcome, Optional<Reason> reason, RequestMetadata metadata) {
    if (metadata.size() > 0) {
      routes
          .computeIfAbsent(metadata.route(), route -> new EnumMap<>(Result.class))
          .computeIfAbsent(
              Result.of(outcome, reason), result -> newHistogram(metadata.route(), result))
          .update(metadata.size());
    }
  }

  private Histogram newHistogram(String route, Result result) {
    return Histograms.get(registry, histogramName(route, result));
  }

  private void onEvicted(String route) {
    for (Result result : Result.values()) {
      registry.remove(histogramName(route, result));
    }
    registry.counter("routes.forgotten").inc();
  }

  private static String histogramName(String route, Result result) {
    return "route." + route + ".size." + result.name().toLowerCase(Locale.ROOT);
  }
}

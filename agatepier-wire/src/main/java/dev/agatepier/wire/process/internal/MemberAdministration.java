package dev.agatepier.wire.process.internal;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.Endpoint;
import dev.agatepier.wire.process.MetricsReport;
import dev.agatepier.wire.process.ProcessStatus;
import dev.agatepier.wire.process.SinglePathServer;
import dev.agatepier.wire.version.VersionService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import reactor.core.publisher.Mono;

/** Administration routes and metrics that every process of the fleet serves. */
final class MemberAdministration {

  private static final String METRICS_PATH = "/metrics";

  private final PeerIdentity self;
  private final LinkRegistry links;
  private final VersionService versions;
  private final MetricRegistry metrics;
  private final MemberTasks tasks;

  MemberAdministration(
      PeerIdentity self,
      LinkRegistry links,
      VersionService versions,
      MetricRegistry metrics,
      MemberTasks tasks) {
    this.self = self;
    this.links = links;
    this.versions = versions;
    this.metrics = metrics;
    this.tasks = tasks;
  }

  /** Returns the routes of the administration API. */
  List<AdministrationRoute> routes() {
    List<AdministrationRoute> routes = new ArrayList<>(tasks.routes());
    routes.add(
        AdministrationRoute.of(
            "GET",
            "/v1/status",
            parameters ->
                tasks.snapshot().thenApply(this::status).thenApply(AdministrationResponses::ok)));
    routes.add(
        AdministrationRoute.of(
            "GET",
            "/v1/metrics",
            parameters -> collectMetrics().thenApply(AdministrationResponses::ok)));
    routes.add(
        AdministrationRoute.of(
            "POST",
            "/v1/drain",
            parameters -> {
              tasks.onDrainRequested();
              return CompletableFuture.completedFuture(AdministrationResponses.drainStarted());
            }));
    return routes;
  }

  /** Returns a server that serves metrics as text. */
  ManagedService metricsServer(Endpoint endpoint) {
    return new SinglePathServer(
        "metrics",
        endpoint,
        METRICS_PATH,
        UnaryOperator.identity(),
        (request, response) ->
            response
                .header("Content-Type", "text/plain; charset=utf-8")
                .sendString(Mono.fromFuture(collectMetrics()).map(PrometheusTextFormat::format)));
  }

  private ProcessStatus status(Object snapshot) {
    return new ProcessStatus(
        self.instance(),
        self.role().text(),
        self.dataCentre(),
        self.region(),
        self.service(),
        Long.toHexString(self.incarnation()),
        versions.table().version(),
        versions.instances().version(),
        tasks.draining(),
        links.peerNames(),
        snapshot);
  }

  private CompletableFuture<MetricsReport> collectMetrics() {
    return tasks.gauges().thenApply(this::metricsReport);
  }

  private MetricsReport metricsReport(Map<String, Object> gauges) {
    MetricsReport report = MetricsReport.of(metrics);
    report.gauges().putAll(gauges);
    report.gauges().put("links.up", links.peerNames().size());
    report.gauges().put("table.version", versions.table().version());
    report.gauges().put("instances.version", versions.instances().version());
    report.gauges().put("instances.evacuated", versions.instances().evacuated().size());
    links.trafficBytes().forEach((name, bytes) -> report.gauges().put("links." + name, bytes));
    return report;
  }
}

package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.DecisionTask;
import dev.agatepier.core.process.RouterDecision;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterSnapshot;
import dev.agatepier.core.process.RouterSnapshot.QueueStatus;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.process.AdministrationResponse;
import dev.agatepier.wire.process.AdministrationRoute;
import dev.agatepier.wire.process.RequestReport;
import dev.agatepier.wire.process.WorkspacesStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** What a router tells operators; every question is answered on the task of its requests. */
final class RouterAdministration {

  private static final int HEXADECIMAL = 16;

  private final DecisionTask<RouterEvent, RouterEffect> requests;
  private final RouterDecision decision;
  private final RequestHistory history;
  private final RequestMetrics metrics;
  private final Supplier<Table> table;

  RouterAdministration(
      DecisionTask<RouterEvent, RouterEffect> requests,
      RouterDecision decision,
      RequestHistory history,
      RequestMetrics metrics,
      Supplier<Table> table) {
    this.requests = requests;
    this.decision = decision;
    this.history = history;
    this.metrics = metrics;
    this.table = table;
  }

  /** Returns a snapshot of the router's decision. */
  CompletableFuture<Object> snapshot() {
    return requests.ask(decision::snapshot);
  }

  /** Returns the gauges of the router by name. */
  CompletableFuture<Map<String, Object>> gauges() {
    return requests.ask(
        now -> {
          RouterSnapshot snapshot = decision.snapshot(now);
          List<QueueStatus> queues = snapshot.queues();
          return Map.of(
              "router.sidecars", snapshot.sidecars().size(),
              "router.waiting", queues.stream().mapToInt(QueueStatus::waiting).sum(),
              "router.running", queues.stream().mapToInt(QueueStatus::running).sum(),
              "router.oldest-wait-millis",
                  queues.stream().mapToLong(QueueStatus::oldestWaitMillis).max().orElse(0));
        });
  }

  /** Returns the routes of the administration API that only routers have. */
  List<AdministrationRoute> routes() {
    return List.of(
        AdministrationRoute.of(
            "GET",
            "/v1/workspaces",
            parameters -> requests.ask(this::workspaces).thenApply(AdministrationResponses::ok)),
        AdministrationRoute.of(
            "GET",
            "/v1/requests/{router}/{incarnation}/{number}",
            parameters ->
                requests.ask(
                    now ->
                        request(parameters)
                            .flatMap(request -> report(request, now))
                            .map(AdministrationResponse::ok)
                            .orElseGet(AdministrationResponses::requestNotFound))));
  }

  private static Optional<RequestId> request(Map<String, String> parameters) {
    try {
      return Optional.of(
          new RequestId(
              parameters.get("router"),
              Long.parseUnsignedLong(parameters.get("incarnation"), HEXADECIMAL),
              Long.parseLong(parameters.get("number"))));
    } catch (NumberFormatException notNumber) {
      return Optional.empty();
    }
  }

  private Optional<RequestReport> report(RequestId request, long nowNanos) {
    return decision
        .progress(request, nowNanos)
        .map(progress -> RequestReport.inProgress(request, progress))
        .or(() -> history.find(request));
  }

  private WorkspacesStatus workspaces(long nowNanos) {
    return WorkspaceReport.ofRouter(decision.snapshot(nowNanos), metrics.workspaces(), table.get());
  }
}

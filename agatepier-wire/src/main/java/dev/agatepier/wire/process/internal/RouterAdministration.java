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

/** Administration routes and gauges of a router; they read its state on its request task. */
final class RouterAdministration {

  private static final int HEXADECIMAL_RADIX = 16;

  private final DecisionTask<RouterEvent, RouterEffect> requestTask;
  private final RouterDecision decision;
  private final RequestHistory history;
  private final RequestMetrics metrics;
  private final Supplier<Table> table;

  RouterAdministration(
      DecisionTask<RouterEvent, RouterEffect> requestTask,
      RouterDecision decision,
      RequestHistory history,
      RequestMetrics metrics,
      Supplier<Table> table) {
    this.requestTask = requestTask;
    this.decision = decision;
    this.history = history;
    this.metrics = metrics;
    this.table = table;
  }

  /** Returns a snapshot of the router decision. */
  CompletableFuture<Object> snapshot() {
    return requestTask.ask(decision::snapshot);
  }

  /** Returns the gauges of the router by name. */
  CompletableFuture<Map<String, Object>> gauges() {
    return requestTask.ask(
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
            parameters -> requestTask.ask(this::workspaces).thenApply(AdministrationResponses::ok)),
        AdministrationRoute.of(
            "GET",
            "/v1/requests/{router}/{incarnation}/{number}",
            parameters ->
                requestTask.ask(
                    now ->
                        parseRequestId(parameters)
                            .flatMap(request -> report(request, now))
                            .map(AdministrationResponse::ok)
                            .orElseGet(AdministrationResponses::requestNotFound))));
  }

  private static Optional<RequestId> parseRequestId(Map<String, String> parameters) {
    try {
      return Optional.of(
          new RequestId(
              parameters.get("router"),
              Long.parseUnsignedLong(parameters.get("incarnation"), HEXADECIMAL_RADIX),
              Long.parseLong(parameters.get("number"))));
    } catch (NumberFormatException malformed) {
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

package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.standin.process.internal.Json;
import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.request.ServiceCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

/** Calls services through routers and classifies each response. */
public final class ServiceCaller {

  private static final String OUTCOME_HEADER = "agatepier-outcome";

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a caller of services.
   *
   * @param caller makes the HTTP calls
   * @param timeout time limit of a call
   */
  public ServiceCaller(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  /** Makes a call through a router; a failure is a result, too, so the future never fails. */
  public CompletableFuture<CallResult> call(
      Endpoint router, TrialWorkspace workspace, ServiceCall call) {
    return call(router, workspace, call, Map.of());
  }

  /** Makes a call with additional headers, such as a ticket. */
  public CompletableFuture<CallResult> call(
      Endpoint router,
      TrialWorkspace workspace,
      ServiceCall call,
      Map<String, String> additionalHeaders) {
    long startNanos = System.nanoTime();
    Map<String, String> headers = new TreeMap<>(additionalHeaders);
    headers.put("Authorization", "Bearer " + workspace.key());
    String url = router.httpUrl("/services/" + call.service() + call.path());
    return caller
        .call(call.method(), url, headers, call.body(), timeout)
        .handle(
            (response, failure) ->
                failure == null
                    ? toResult(workspace, call, response)
                    : toFailureResult(workspace, call, failure, System.nanoTime() - startNanos));
  }

  private static CallResult toResult(
      TrialWorkspace workspace, ServiceCall call, HttpResponse response) {
    CallOutcome outcome = classify(call, response);
    String reason = outcome == CallOutcome.COMPLETED ? "" : errorReason(response);
    return new CallResult(
        workspace.name(),
        call,
        outcome,
        reason,
        response.headers().getOrDefault("agatepier-request", ""),
        response.firstByteNanos(),
        response.totalNanos());
  }

  private static CallOutcome classify(ServiceCall call, HttpResponse response) {
    String outcomeCode =
        response
            .trailers()
            .getOrDefault(OUTCOME_HEADER, response.headers().getOrDefault(OUTCOME_HEADER, ""));
    if (outcomeCode.equals(Outcome.NOT_RUN.code())) {
      return CallOutcome.NOT_RUN;
    }
    if (outcomeCode.equals(Outcome.UNKNOWN.code())) {
      return CallOutcome.UNKNOWN;
    }
    if (!response.successful()) {
      return CallOutcome.UPSTREAM_ERROR;
    }
    if (!outcomeCode.equals(Outcome.COMPLETED.code())) {
      return CallOutcome.UNMARKED;
    }
    return response.body().equals(call.expectedResponseBody())
        ? CallOutcome.COMPLETED
        : CallOutcome.WRONG;
  }

  private static String errorReason(HttpResponse response) {
    try {
      byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
      JsonNode error = Json.read(body, JsonNode.class).path("error");
      return error.path("reason").asText("status " + response.status());
    } catch (IllegalArgumentException notJson) {
      return "status " + response.status();
    }
  }

  private static CallResult toFailureResult(
      TrialWorkspace workspace, ServiceCall call, Throwable failure, long nanos) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    CallOutcome outcome =
        switch (cause) {
          case ConnectException unreachable -> CallOutcome.UNREACHABLE;
          case TimeoutException timeout -> CallOutcome.TIMED_OUT;
          default -> CallOutcome.BROKEN;
        };
    return new CallResult(
        workspace.name(), call, outcome, cause.getClass().getSimpleName(), "", nanos, nanos);
  }
}

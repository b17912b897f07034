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

/** Calls services through routers and judges each answer. */
public final class ServiceCaller {

  private static final String OUTCOME = "agatepier-outcome";

  private final HttpCaller caller;
  private final Duration timeout;

  /**
   * Creates a caller of services.
   *
   * @param caller makes the HTTP calls
   * @param timeout time after which a call is given up
   */
  public ServiceCaller(HttpCaller caller, Duration timeout) {
    this.caller = caller;
    this.timeout = timeout;
  }

  /** Makes a call through a router; every end is a result, none a failure. */
  public CompletableFuture<CallResult> call(
      Endpoint router, TrialWorkspace workspace, ServiceCall call) {
    return call(router, workspace, call, Map.of());
  }

  /** Makes a call with further headers, such as a ticket. */
  public CompletableFuture<CallResult> call(
      Endpoint router, TrialWorkspace workspace, ServiceCall call, Map<String, String> more) {
    long start = System.nanoTime();
    Map<String, String> headers = new TreeMap<>(more);
    headers.put("Authorization", "Bearer " + workspace.key());
    String address = router.httpUrl("/services/" + call.service() + call.path());
    return caller
        .call(call.method(), address, headers, call.body(), timeout)
        .handle(
            (answer, failure) ->
                failure == null
                    ? judge(workspace, call, answer)
                    : failed(workspace, call, failure, System.nanoTime() - start));
  }

  private static CallResult judge(TrialWorkspace workspace, ServiceCall call, HttpResponse answer) {
    CallOutcome outcome = outcome(call, answer);
    String reason = outcome == CallOutcome.COMPLETED ? "" : reason(answer);
    return new CallResult(
        workspace.name(),
        call,
        outcome,
        reason,
        answer.headers().getOrDefault("agatepier-request", ""),
        answer.firstByteNanos(),
        answer.totalNanos());
  }

  private static CallOutcome outcome(ServiceCall call, HttpResponse answer) {
    String marked =
        answer.trailers().getOrDefault(OUTCOME, answer.headers().getOrDefault(OUTCOME, ""));
    if (marked.equals(Outcome.NOT_RUN.code())) {
      return CallOutcome.NOT_RUN;
    }
    if (marked.equals(Outcome.UNKNOWN.code())) {
      return CallOutcome.UNKNOWN;
    }
    if (!answer.successful()) {
      return CallOutcome.UPSTREAM_ERROR;
    }
    if (!marked.equals(Outcome.COMPLETED.code())) {
      return CallOutcome.UNMARKED;
    }
    return answer.body().equals(call.expectedResponseBody())
        ? CallOutcome.COMPLETED
        : CallOutcome.WRONG;
  }

  private static String reason(HttpResponse answer) {
    try {
      byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
      JsonNode error = Json.read(body, JsonNode.class).path("error");
      return error.path("reason").asText("status " + answer.status());
    } catch (IllegalArgumentException notJson) {
      return "status " + answer.status();
    }
  }

  private static CallResult failed(
      TrialWorkspace workspace, ServiceCall call, Throwable failure, long nanos) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    CallOutcome outcome =
        switch (cause) {
          case ConnectException refused -> CallOutcome.UNREACHABLE;
          case TimeoutException late -> CallOutcome.TIMED_OUT;
          default -> CallOutcome.BROKEN;
        };
    return new CallResult(
        workspace.name(), call, outcome, cause.getClass().getSimpleName(), "", nanos, nanos);
  }
}

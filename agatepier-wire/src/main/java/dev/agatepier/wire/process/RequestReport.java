package dev.agatepier.wire.process;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RequestProgress;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Response body of {@code GET /v1/requests/...}: state of a request at its router.
 *
 * @param request id of the request
 * @param state {@code waiting}, {@code running} or {@code ended}
 * @param outcome outcome sent to the caller; empty until the request ends
 * @param reason why it failed; empty if it completed or has not ended
 * @param workspace workspace of the caller
 * @param service service called
 * @param attempts number of attempts sent to sidecars
 * @param sidecar instance name of the sidecar of the last attempt; empty for none
 * @param waitMillis time until the last attempt was sent, or waiting time so far, in milliseconds
 * @param firstByteMillis time until the response started, in milliseconds; 0 if it has not
 * @param totalMillis time from the arrival of the request until its end or until now, in
 *     milliseconds
 * @param cost cost reported by the sidecar, in cost units of the service
 */
public record RequestReport(
    String request,
    String state,
    String outcome,
    String reason,
    String workspace,
    String service,
    int attempts,
    String sidecar,
    long waitMillis,
    long firstByteMillis,
    long totalMillis,
    double cost) {

  /** Returns the report of a request that has ended. */
  public static RequestReport ended(
      RequestId request, Outcome outcome, Optional<Reason> reason, RequestMetadata metadata) {
    return of(request, "ended", outcome.code(), reason.map(Reason::code).orElse(""), metadata);
  }

  /** Returns the report of a request that has not ended. */
  public static RequestReport inProgress(RequestId request, RequestProgress progress) {
    return of(request, progress.running() ? "running" : "waiting", "", "", progress.facts());
  }

  private static RequestReport of(
      RequestId request, String state, String outcome, String reason, RequestMetadata metadata) {
    return new RequestReport(
        request.toString(),
        state,
        outcome,
        reason,
        metadata.workspace(),
        metadata.service(),
        metadata.attempts(),
        metadata.lastSidecar(),
        TimeUnit.NANOSECONDS.toMillis(metadata.waitNanos()),
        TimeUnit.NANOSECONDS.toMillis(metadata.firstByteNanos()),
        TimeUnit.NANOSECONDS.toMillis(metadata.totalNanos()),
        metadata.cost());
  }
}

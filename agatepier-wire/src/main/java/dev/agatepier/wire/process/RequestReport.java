package dev.agatepier.wire.process;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RequestProgress;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Answer of {@code GET /v1/requests/...}: what a router knows of one request.
 *
 * @param request name of the request
 * @param state {@code waiting}, {@code running} or {@code ended}
 * @param outcome what its caller was told; empty before its end
 * @param reason why it failed; empty if it was answered whole or has not ended
 * @param workspace workspace of the caller
 * @param service service called
 * @param attempts attempts sent to sidecars
 * @param sidecar instance name of the last sidecar tried; empty for none
 * @param waitMillis time until the last attempt was sent, or waited so far, in milliseconds
 * @param firstByteMillis time until the answer began, in milliseconds; 0 if it did not
 * @param totalMillis time from arrival to end, or until now, in milliseconds
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

  /** Reports a request that has ended. */
  public static RequestReport ended(
      RequestId request, Outcome outcome, Optional<Reason> reason, RequestMetadata facts) {
    return of(request, "ended", outcome.code(), reason.map(Reason::code).orElse(""), facts);
  }

  /** Reports a request that has not ended. */
  public static RequestReport inProgress(RequestId request, RequestProgress progress) {
    return of(request, progress.running() ? "running" : "waiting", "", "", progress.facts());
  }

  private static RequestReport of(
      RequestId request, String state, String outcome, String reason, RequestMetadata facts) {
    return new RequestReport(
        request.toString(),
        state,
        outcome,
        reason,
        facts.workspace(),
        facts.service(),
        facts.attempts(),
        facts.lastSidecar(),
        TimeUnit.NANOSECONDS.toMillis(facts.waitNanos()),
        TimeUnit.NANOSECONDS.toMillis(facts.firstByteNanos()),
        TimeUnit.NANOSECONDS.toMillis(facts.totalNanos()),
        facts.cost());
  }
}

package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.FairPosition;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.ResumptionEvidence;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.wire.connection.internal.EventNumbers;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.ResponseTrace;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Logs the events of requests, their slots and their attempts. */
public final class RequestLog {

  private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);

  /** Number of the event after which an attempt resumes, if it begins a stream. */
  private static final long NO_EVENT = -1;

  private RequestLog() {}

  /** Logs a request that has completed. */
  public static void logCompleted(RequestId request, RequestMetadata metadata) {
    LOGGER.info(() -> addMetadata(requestEndEvent(request, Outcome.COMPLETED), metadata));
  }

  /** Logs a request that has failed or that the decision has rejected. */
  public static void logFailed(
      RequestId request, Outcome outcome, Reason reason, RequestMetadata metadata) {
    LOGGER.info(
        () ->
            addMetadata(requestEndEvent(request, outcome).with("reason", reason.code()), metadata));
  }

  /**
   * Logs a request that is passed to the decision.
   *
   * @param arrived the request as the decision receives it
   * @param call the request as it was accepted from its caller
   * @param tableVersion version of the table that was active at its admission
   * @param tableAgeMillis time since the last confirmation of that version, in milliseconds
   */
  public static void logAdmitted(
      RouterEvent.CallArrived arrived, AcceptedCall call, long tableVersion, long tableAgeMillis) {
    LOGGER.info(
        () ->
            LogEvent.REQUEST_ADMITTED
                .message()
                .with("request", arrived.request().toString())
                .with("label", call.label())
                .with("content", arrived.fingerprint().contentDigest())
                .with("workspace", call.workspace())
                .with("service", call.service())
                .with("route", call.plan().route())
                .with("promptTokens", call.prompt().map(PromptMetadata::promptTokens).orElse(0))
                .with("outputTokens", call.prompt().map(PromptMetadata::outputTokens).orElse(0))
                .with("tableVersion", tableVersion)
                .with("tableAgeMillis", tableAgeMillis));
  }

  /** Logs a request that was rejected before the decision received it. */
  public static void logRejected(RequestId request, Reason reason) {
    LOGGER.info(() -> requestEndEvent(request, Outcome.NOT_RUN).with("reason", reason.code()));
  }

  /** Logs a rejected request; the id is null if no request could be read. */
  public static void logRejected(RequestId request, String label, Reason reason) {
    LOGGER.info(
        () ->
            LogEvent.REQUEST_END
                .message()
                .with("request", String.valueOf(request))
                .with("label", label)
                .with("outcome", Outcome.NOT_RUN.code())
                .with("reason", reason.code()));
  }

  /** Logs a slot that the slot allocator has granted. */
  public static void logSlotGranted(SlotAllocatorEffect.Placed grant) {
    LOGGER.info(
        () ->
            slotEvent(LogEvent.SLOT_GRANTED, grant.service(), grant.request(), grant.position())
                .with("cost", Math.round(grant.cost()))
                .with("upstream", grant.upstream())
                .with("waitedMillis", grant.waitedMillis())
                .with("backlogMillis", grant.backlogMillis())
                .with("ownMillis", grant.ownMillis())
                .with("unreadTokens", grant.unreadTokens())
                .with("sharedUnreadTokens", grant.sharedUnreadTokens())
                .with("leastUnreadTokens", grant.leastUnreadTokens())
                .with("underserved", grant.underserved()));
  }

  /** Logs that the load of a shared prompt prefix needs another number of homes. */
  public static void logPrefixHomesChanged(SlotAllocatorEffect.PrefixHomesChanged change) {
    LOGGER.info(
        () ->
            LogEvent.PREFIX_HOMES_CHANGED
                .message()
                .with("service", change.service())
                .with("prefix", change.prefix())
                .with("homes", change.homes())
                .with("previous", change.previous()));
  }

  /** Logs a request for a slot that the slot allocator has rejected. */
  public static void logSlotRejected(SlotAllocatorEffect.Rejected rejection) {
    LOGGER.info(
        () ->
            slotEvent(
                    LogEvent.SLOT_REFUSED,
                    rejection.service(),
                    rejection.request(),
                    rejection.position())
                .with("waitedMillis", rejection.waitedMillis())
                .with("slackMillis", rejection.slackMillis())
                .with("expectedMillis", rejection.expectedMillis())
                .with("ownMillis", rejection.ownMillis())
                .with("upstreamsWithCapacity", rejection.upstreamsWithCapacity())
                .with("underserved", rejection.underserved())
                .with("callerReturn", rejection.callerReturn().code())
                .with("retryAfterMillis", rejection.retryAfterMillis()));
  }

  /**
   * Logs an attempt that is passed to an upstream.
   *
   * @param listAgeMillis time since the instance list was confirmed, in milliseconds; -1 for none
   */
  public static void logAttemptStarted(RouterEffect.RunAttempt attempt, long listAgeMillis) {
    LOGGER.info(
        () ->
            attemptEvent(LogEvent.ATTEMPT_STARTED, attempt.attempt())
                .with("upstream", attempt.upstream().name())
                .with("upstreamVersion", attempt.upstream().softwareVersion())
                .with("requiredVersion", attempt.softwareVersion())
                .with("listAgeMillis", listAgeMillis)
                .with("timeLeftMillis", attempt.timeLeftMillis())
                .with("resumed", attempt.resumeAfter().isPresent())
                .with("resumeAfter", attempt.resumeAfter().orElse(NO_EVENT)));
  }

  /** Logs an attempt that ended with a complete response. */
  public static void logAttemptCompleted(
      AttemptId attempt, EventNumbers numbers, ResponseTrace trace) {
    LOGGER.info(
        () ->
            addTrace(
                addNumbers(
                    attemptEvent(LogEvent.ATTEMPT_ENDED, attempt)
                        .with("outcome", Outcome.COMPLETED.code()),
                    numbers),
                trace));
  }

  /** Logs an attempt that is known not to have run. */
  public static void logAttemptNotRun(RouterEvent.UpstreamNotRun event) {
    LOGGER.info(
        () ->
            attemptEvent(LogEvent.ATTEMPT_ENDED, event.attempt())
                .with("outcome", Outcome.NOT_RUN.code())
                .with("reason", event.reason().code()));
  }

  /** Logs an attempt that may have run but has no complete response. */
  public static void logAttemptFailed(RouterEvent.UpstreamFailed event, EventNumbers numbers) {
    LOGGER.info(
        () ->
            addNumbers(
                attemptEvent(LogEvent.ATTEMPT_ENDED, event.attempt())
                    .with("outcome", Outcome.UNKNOWN.code())
                    .with("reason", event.reason().code()),
                numbers));
  }

  /** Logs a malformed response; the attempt is null if no response was expected. */
  public static void logMalformedResponse(
      String upstream, AttemptId attempt, String detail, ResponseTrace trace) {
    LOGGER.warn(
        () ->
            addTrace(
                LogEvent.ANSWER_UNSOUND
                    .message()
                    .with("upstream", upstream)
                    .with("request", attempt == null ? "" : attempt.request().toString())
                    .with("flaw", detail),
                trace));
  }

  /** Logs a field about further requests to an upstream that could not be understood. */
  public static void logNoticeIgnored(String upstream, AttemptId attempt, String detail) {
    LOGGER.warn(
        () ->
            LogEvent.UPSTREAM_NOTICE_IGNORED
                .message()
                .with("upstream", upstream)
                .with("request", attempt.request().toString())
                .with("flaw", detail));
  }

  /** Logs an upstream that has stated another incarnation than the list has for it. */
  public static void logUpstreamReplaced(RouterEffect.RunAttempt attempt, long incarnation) {
    LOGGER.warn(
        () ->
            attemptEvent(LogEvent.UPSTREAM_REPLACED, attempt.attempt())
                .with("upstream", attempt.upstream().name())
                .with("upstreamVersion", attempt.upstream().softwareVersion())
                .with("listedIncarnation", attempt.upstream().incarnation())
                .with("statedIncarnation", incarnation));
  }

  private static StringMapMessage slotEvent(
      LogEvent event, String service, RequestId request, FairPosition position) {
    return event
        .message()
        .with("request", request.toString())
        .with("service", service)
        .with("workspace", position.workspace())
        .with("virtualService", Math.round(position.virtualService()))
        .with("firstVirtualService", Math.round(position.firstVirtualService()))
        .with("waitingWorkspaces", position.waitingWorkspaces());
  }

  private static StringMapMessage addTrace(StringMapMessage message, ResponseTrace trace) {
    return message
        .with("delimiter", trace.delimiter().code())
        .with("trailerFields", trace.trailerFields())
        .with("connectionReused", trace.connectionReused())
        .with("requestWritten", trace.requestWritten());
  }

  private static StringMapMessage addNumbers(StringMapMessage message, EventNumbers numbers) {
    return message
        .with("firstEvent", numbers.first())
        .with("lastEvent", numbers.last())
        .with("eventGaps", numbers.gaps());
  }

  private static StringMapMessage attemptEvent(LogEvent event, AttemptId attempt) {
    return event
        .message()
        .with("request", attempt.request().toString())
        .with("attempt", attempt.number());
  }

  /** Logs an upstream that is ejected or used again. */
  static void logUpstreamUsabilityChanged(SlotAllocatorEffect.UpstreamUsabilityChanged change) {
    LOGGER.info(
        () ->
            LogEvent.UPSTREAM_JUDGED
                .message()
                .with("upstream", change.upstream())
                .with("usable", change.usable())
                .with("reason", change.reason())
                .with("sinceMillis", change.sinceMillis()));
  }

  /** Logs a change of the state of an upstream. */
  static void logUpstreamAvailabilityChanged(
      SlotAllocatorEffect.UpstreamAvailabilityChanged change) {
    LOGGER.info(
        () ->
            LogEvent.UPSTREAM_AVAILABILITY_CHANGED
                .message()
                .with("service", change.service())
                .with("upstream", change.upstream())
                .with("dataCentre", change.dataCentre())
                .with("state", change.state().code())
                .with("previous", change.previous().code()));
  }

  /** Logs that another table version has other lists of allowed regions. */
  static void logAllowedRegionsChanged(RouterEffect.AllowedRegionsChanged change) {
    LOGGER.info(
        () ->
            LogEvent.ALLOWED_REGIONS_CHANGED
                .message()
                .with("version", change.tableVersion())
                .with("restrictedRoutes", change.restrictedRoutes())
                .with("restrictedWorkspaces", change.restrictedWorkspaces())
                .with("waitingChanged", change.waitingChanged()));
  }

  /** Logs a call that resumes a stream, and how the software version that began it was found. */
  static void logResumptionDecided(RouterEffect.ResumptionDecided decided) {
    LogEvent event =
        decided.source().resumes() ? LogEvent.STREAM_RESUMED : LogEvent.STREAM_RESUMPTION_REJECTED;
    LOGGER.info(
        () ->
            event
                .message()
                .with("request", decided.request().toString())
                .with("resumedLabel", decided.resumedLabel())
                .with("origin", decided.source().code())
                .with("softwareVersion", decided.softwareVersion())
                .with("heldMillis", TimeUnit.NANOSECONDS.toMillis(decided.heldNanos()))
                .with("routersAsked", decided.evidence().routersAsked())
                .with("routersReplied", decided.evidence().routersReplied())
                .with("softwareVersions", decided.evidence().softwareVersions())
                .with("complete", decided.evidence().complete())
                .with("listAgeMillis", listAgeMillis(decided.evidence())));
  }

  private static long listAgeMillis(ResumptionEvidence evidence) {
    return evidence.listAgeNanos() < 0
        ? -1
        : TimeUnit.NANOSECONDS.toMillis(evidence.listAgeNanos());
  }

  /** Logs the numbers of the events on both sides of a seam of a stream. */
  static void logStreamContinued(RouterEffect.StreamContinued continued) {
    LOGGER.info(
        () ->
            attemptEvent(LogEvent.STREAM_CONTINUED, continued.attempt())
                .with("resumeAfter", continued.resumeAfter())
                .with("firstEvent", continued.firstEvent())
                .with("missing", continued.missing())
                .with("repeated", continued.repeated())
                .with("sameCall", continued.sameCall()));
  }

  /** Logs a request or prompt part that is quarantined or no longer is. */
  static void logQuarantineChanged(RouterEffect.QuarantineChanged change) {
    LOGGER.warn(
        () ->
            LogEvent.QUARANTINE_CHANGED
                .message()
                .with("workspace", change.fingerprint().workspace())
                .with("service", change.fingerprint().service())
                .with("content", change.fingerprint().contentDigest())
                .with("quarantined", !change.upstream().isEmpty())
                .with("upstream", change.upstream()));
  }

  /** Logs a request that is sent to find out whether its quarantined content is sound. */
  static void logQuarantineTrial(RouterEffect.QuarantineTrialStarted trial) {
    LOGGER.warn(
        () ->
            LogEvent.QUARANTINE_TRIAL
                .message()
                .with("request", trial.request().toString())
                .with(
                    "content",
                    trial.fingerprints().stream()
                        .map(Fingerprint::contentDigest)
                        .collect(Collectors.joining(","))));
  }

  /** Logs the end of a request with the ticket that was issued. */
  public static void logTicketIssued(RequestId request, Ticket ticket) {
    LOGGER.info(
        () ->
            requestEndEvent(request, Outcome.COMPLETED)
                .with("workspace", ticket.workspace())
                .with("service", ticket.service())
                .with("sidecar", ticket.sidecar()));
  }

  private static StringMapMessage requestEndEvent(RequestId request, Outcome outcome) {
    return LogEvent.REQUEST_END
        .message()
        .with("request", request.toString())
        .with("outcome", outcome.code());
  }

  private static StringMapMessage addMetadata(StringMapMessage message, RequestMetadata metadata) {
    return message
        .with("workspace", metadata.workspace())
        .with("service", metadata.service())
        .with("attempts", metadata.attempts())
        .with("sidecar", metadata.lastSidecar())
        .with("waitMillis", TimeUnit.NANOSECONDS.toMillis(metadata.waitNanos()))
        .with("firstByteMillis", TimeUnit.NANOSECONDS.toMillis(metadata.firstByteNanos()))
        .with("longestGapMillis", TimeUnit.NANOSECONDS.toMillis(metadata.longestGapNanos()))
        .with("totalMillis", TimeUnit.NANOSECONDS.toMillis(metadata.totalNanos()))
        .with("cost", metadata.cost());
  }
}

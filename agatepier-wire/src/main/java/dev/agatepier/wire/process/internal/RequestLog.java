package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.request.AcceptedCall;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes one event for each request that ends. */
public final class RequestLog {

  private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);

  private RequestLog() {}

  /** A request was answered whole. */
  public static void logCompleted(RequestId request, RequestMetadata facts) {
    LOGGER.info(() -> addFacts(ended(request, Outcome.COMPLETED), facts));
  }

  /** A request failed or was refused by the decision. */
  public static void logFailed(
      RequestId request, Outcome outcome, Reason reason, RequestMetadata facts) {
    LOGGER.info(() -> addFacts(ended(request, outcome).with("reason", reason.code()), facts));
  }

  /**
   * A request was handed to the decision.
   *
   * @param tableVersion version of the table that admitted it
   * @param tableAgeMillis time since that version was last confirmed, in milliseconds
   */
  public static void logAdmitted(
      RequestId request, AcceptedCall intake, long tableVersion, long tableAgeMillis) {
    LOGGER.info(
        () ->
            LogEvent.REQUEST_ADMITTED
                .message()
                .with("request", request.toString())
                .with("label", intake.label())
                .with("workspace", intake.workspace())
                .with("service", intake.service())
                .with("route", intake.plan().route())
                .with("tableVersion", tableVersion)
                .with("tableAgeMillis", tableAgeMillis));
  }

  /** A request was refused before the decision heard of it. */
  public static void logRejected(RequestId request, Reason reason) {
    LOGGER.info(() -> ended(request, Outcome.NOT_RUN).with("reason", reason.code()));
  }

  /** A request was refused before the decision heard of it; null if it never became one. */
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

  /** A slot keeper granted a slot. */
  public static void logSlotGranted(SlotAllocatorEffect.Placed placed) {
    LOGGER.info(
        () ->
            LogEvent.SLOT_GRANTED
                .message()
                .with("request", placed.request().toString())
                .with("service", placed.service())
                .with("upstream", placed.upstream())
                .with("waitedMillis", placed.waitedMillis())
                .with("backlogMillis", placed.backlogMillis())
                .with("ownMillis", placed.ownMillis())
                .with("unreadTokens", placed.unreadTokens())
                .with("sharedUnreadTokens", placed.sharedUnreadTokens())
                .with("leastUnreadTokens", placed.leastUnreadTokens()));
  }

  /** A slot keeper refused a slot. */
  public static void logSlotRejected(SlotAllocatorEffect.Rejected away) {
    LOGGER.info(
        () ->
            LogEvent.SLOT_REFUSED
                .message()
                .with("request", away.request().toString())
                .with("service", away.service())
                .with("waitedMillis", away.waitedMillis())
                .with("slackMillis", away.slackMillis())
                .with("expectedMillis", away.expectedMillis()));
  }

  /** An attempt was handed to an upstream. */
  public static void logAttemptStarted(RouterEffect.RunAttempt attempt) {
    LOGGER.info(
        () ->
            attempt(LogEvent.ATTEMPT_STARTED, attempt.attempt())
                .with("upstream", attempt.upstream().name())
                .with("timeLeftMillis", attempt.timeLeftMillis())
                .with("resumed", attempt.resumeAfter().isPresent()));
  }

  /** An attempt is known not to have run. */
  public static void logAttemptNotRun(RouterEvent.UpstreamNotRun event) {
    LOGGER.info(
        () ->
            attempt(LogEvent.ATTEMPT_ENDED, event.attempt())
                .with("outcome", Outcome.NOT_RUN.code())
                .with("reason", event.reason().code()));
  }

  /** An attempt may have run, and there is no whole answer. */
  public static void logAttemptFailed(RouterEvent.UpstreamFailed event) {
    LOGGER.info(
        () ->
            attempt(LogEvent.ATTEMPT_ENDED, event.attempt())
                .with("outcome", Outcome.UNKNOWN.code())
                .with("reason", event.reason().code()));
  }

  /** An upstream sent what cannot be an answer; null if nobody waited for one. */
  public static void logMalformedResponse(String upstream, AttemptId attempt, String flaw) {
    LOGGER.warn(
        () ->
            LogEvent.ANSWER_UNSOUND
                .message()
                .with("upstream", upstream)
                .with("request", attempt == null ? "" : attempt.request().toString())
                .with("flaw", flaw));
  }

  private static StringMapMessage attempt(LogEvent event, AttemptId attempt) {
    return event
        .message()
        .with("request", attempt.request().toString())
        .with("attempt", attempt.number());
  }

  /** An upstream is left alone from now on, or used again. */
  static void logUpstreamUsabilityChanged(SlotAllocatorEffect.UpstreamUsabilityChanged judged) {
    LOGGER.info(
        () ->
            LogEvent.UPSTREAM_JUDGED
                .message()
                .with("upstream", judged.upstream())
                .with("usable", judged.usable())
                .with("reason", judged.reason())
                .with("sinceMillis", judged.sinceMillis()));
  }

  /** A ticket was handed out. */
  public static void logTicketIssued(RequestId request, Ticket ticket) {
    LOGGER.info(
        () ->
            ended(request, Outcome.COMPLETED)
                .with("workspace", ticket.workspace())
                .with("service", ticket.service())
                .with("sidecar", ticket.sidecar()));
  }

  private static StringMapMessage ended(RequestId request, Outcome outcome) {
    return LogEvent.REQUEST_END
        .message()
        .with("request", request.toString())
        .with("outcome", outcome.code());
  }

  private static StringMapMessage addFacts(StringMapMessage message, RequestMetadata facts) {
    return message
        .with("workspace", facts.workspace())
        .with("service", facts.service())
        .with("attempts", facts.attempts())
        .with("sidecar", facts.lastSidecar())
        .with("waitMillis", TimeUnit.NANOSECONDS.toMillis(facts.waitNanos()))
        .with("firstByteMillis", TimeUnit.NANOSECONDS.toMillis(facts.firstByteNanos()))
        .with("totalMillis", TimeUnit.NANOSECONDS.toMillis(facts.totalNanos()))
        .with("cost", facts.cost());
  }
}

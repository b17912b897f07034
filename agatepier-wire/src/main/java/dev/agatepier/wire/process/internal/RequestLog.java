package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RequestFacts;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.wire.process.LogEvent;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes one event for each request that ends. */
public final class RequestLog {

  private static final Logger LOGGER = LogManager.getLogger(RequestLog.class);

  private RequestLog() {}

  /** A request was answered whole. */
  public static void completed(RequestId request, RequestFacts facts) {
    LOGGER.info(() -> addFacts(ended(request, Outcome.COMPLETED), facts));
  }

  /** A request failed or was refused by the decision. */
  public static void failed(RequestId request, Outcome outcome, Reason reason, RequestFacts facts) {
    LOGGER.info(() -> addFacts(ended(request, outcome).with("reason", reason.code()), facts));
  }

  /** A request was refused before the decision heard of it. */
  public static void refused(RequestId request, Reason reason) {
    LOGGER.info(() -> ended(request, Outcome.NOT_RUN).with("reason", reason.code()));
  }

  /** A ticket was handed out. */
  public static void ticket(RequestId request, Ticket ticket) {
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

  private static StringMapMessage addFacts(StringMapMessage message, RequestFacts facts) {
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

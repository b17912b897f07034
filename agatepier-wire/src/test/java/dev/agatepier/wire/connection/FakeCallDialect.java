package dev.agatepier.wire.connection;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.FleetResponse;
import dev.agatepier.wire.request.ReceivedHead;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

/** Accepts every call except for paths that start with {@code /rejected}. */
final class FakeCallDialect implements CallDialect {

  CallerBounds bounds = new CallerBounds(1_024, 1_000, 60_000, 60_000);

  /** Processor time that each call takes on the event loop. */
  long workNanos;

  /** How often the bounds were read before the first call; each new connection reads them. */
  volatile int boundsReadBeforeFirstCall;

  /** Calls that were read. */
  volatile int calls;

  private int boundsRead;

  @Override
  public CallerBounds bounds() {
    boundsRead++;
    return bounds;
  }

  @Override
  public String label(ReceivedHead head) {
    return head.firstHeader("label").orElse("");
  }

  @Override
  public AcceptedCall accept(ReceivedHead head, long nowNanos) {
    if (calls++ == 0) {
      boundsReadBeforeFirstCall = boundsRead;
    }
    LockSupport.parkNanos(workNanos);
    if (head.path().startsWith("/rejected")) {
      throw new CallRejectedException(Reason.ROUTE_UNKNOWN, "rejected by the test");
    }
    return new AcceptedCall(
        label(head),
        "howrah",
        "chair-desk",
        new CallHead(head.method(), head.target(), head.headers()),
        new CallPlan("route", false, false, false, 1, 10_000, 100, 0, 0),
        Optional.empty(),
        nowNanos + 10_000_000_000L);
  }

  @Override
  public FleetResponse failureResponse(
      String label, Outcome outcome, Reason reason, long retryAfterMillis) {
    return new FleetResponse(
        new ResponseHead(reason.status(), List.of(new Header("label", label))),
        Bytes.ofText(outcome.code() + " " + reason.code()));
  }
}

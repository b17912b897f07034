package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.connection.MemoryBudget;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import java.util.function.Consumer;

/** Services shared by the connections of a port; called on the event loop of a connection. */
public interface CallerPortContext {

  /** Returns the HTTP dialect of the callers. */
  CallDialect dialect();

  /** Returns the monotonic clock of the process. */
  MonotonicClock clock();

  /** Returns the limits on what callers make the process hold. */
  LimitSettings limits();

  /** Returns the memory budget of the process. */
  MemoryBudget memory();

  /** Returns the record of limits that callers met. */
  LimitIncidents incidents();

  /** Returns the sink of events; it must not lose any. */
  Consumer<RouterEvent> events();

  /** Returns the handler of unexpected failures in the task of a connection. */
  Consumer<Throwable> failureHandler();

  /** Allocates the id of the next request. */
  RequestId nextRequestId();

  /** Submits a complete request; returns false if the mailbox of the router is full. */
  boolean submit(
      CallerConnection connection, RequestId request, AcceptedCall acceptedCall, Bytes body);

  /**
   * Called when a request is rejected before it reaches the decision of the router.
   *
   * @param request id of the request; null if it has none
   */
  void onRequestRejected(RequestId request, String label, Reason reason);

  /** Returns after how many milliseconds a rejected request may be retried; 0 if not stated. */
  long retryAfterMillis(Reason reason);

  /** Called when nothing more will be written for a request. */
  void onRequestFinished(RequestId request);

  /** Called when a connection is closed. */
  void onConnectionClosed(CallerConnection connection);
}

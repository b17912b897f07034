package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallDialect;
import java.util.function.Consumer;

/** What the connections of one port share; every call comes on the event loop of a connection. */
public interface CallerPortContext {

  /** Returns how the callers speak. */
  CallDialect dialect();

  /** Returns the process's monotonic clock. */
  MonotonicClock clock();

  /** Returns where events that must not be lost go. */
  Consumer<RouterEvent> events();

  /** Returns who is told of failures of a connection's task. */
  Consumer<Throwable> failures();

  /** Returns the name of the next request. */
  RequestId nextRequestId();

  /** Hands a whole request to the router; returns false if it cannot take it now. */
  boolean submit(CallerConnection connection, RequestId request, AcceptedCall intake, Bytes body);

  /**
   * Notes that a request was refused before the router's decision heard of it.
   *
   * @param request name of the request; null if it never became one
   */
  void onRequestRejected(RequestId request, String label, Reason reason);

  /** Returns when a request that is refused for a reason may be sent again, in milliseconds. */
  long retryAfterMillis(Reason reason);

  /** Notes that nothing more is to be written for a request. */
  void onRequestFinished(RequestId request);

  /** Notes that a connection is closed. */
  void onConnectionClosed(CallerConnection connection);
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.request.ResponseTrace;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.function.Consumer;
import reactor.netty.resources.LoopResources;

/** Services shared by the upstream pools of a router. */
public interface UpstreamCallerContext {

  /** Returns the HTTP dialect of the upstreams. */
  UpstreamDialect dialect();

  /** Returns the monotonic clock of the process. */
  MonotonicClock clock();

  /** Returns the sink of events that are no progress of an attempt; it must not lose any. */
  Consumer<RouterEvent> events();

  /**
   * Passes on an event of an attempt. No event is lost.
   *
   * @param numbers the numbers of the events that the attempt has forwarded until then
   */
  void onAttemptEvent(RouterEvent event, EventNumbers numbers);

  /** Returns the handler of unexpected failures in the task of a connection. */
  Consumer<Throwable> failureHandler();

  /** Returns the budget for buffered parts of responses. */
  ResponseBudget responses();

  /** Returns the event loops for connections. */
  LoopResources eventLoops();

  /** Called when a response states a load that cannot be read. */
  void onUnreadableLoad();

  /** Called before a connection is opened. */
  void onConnecting();

  /**
   * Called when a field about further requests to an upstream could not be understood.
   *
   * @param detail description of the field, for logs
   * @param first whether it is the first of this upstream; only this one is logged
   */
  void onNoticeIgnored(Upstream upstream, AttemptId attempt, String detail, boolean first);

  /**
   * Called when an upstream has been asked for its incarnation.
   *
   * @param attempt the attempt that is to be sent to it
   */
  void onIncarnationQueried(RunAttempt attempt, IncarnationQuery.Result result);

  /**
   * Called when an attempt has ended with a complete response.
   *
   * @param numbers the numbers of the events that were forwarded
   * @param trace how the response was delimited and received
   */
  void onResponseCompleted(RunAttempt attempt, EventNumbers numbers, ResponseTrace trace);

  /**
   * Called when a malformed response is received.
   *
   * @param attempt the attempt in flight; null if there is none
   * @param detail description of the protocol violation, for logs
   * @param trace what was received of the response
   */
  void onMalformedResponse(
      Upstream upstream, AttemptId attempt, String detail, ResponseTrace trace);
}

package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.function.Consumer;
import reactor.netty.resources.LoopResources;

/** What the pools of one router share. */
public interface UpstreamCallerContext {

  /** Returns how upstreams speak. */
  UpstreamDialect dialect();

  /** Returns the process's monotonic clock. */
  MonotonicClock clock();

  /** Returns where events go; none may be lost. */
  Consumer<RouterEvent> events();

  /** Returns who is told of failures of a connection's task. */
  Consumer<Throwable> failures();

  /** Returns the event loop. */
  LoopResources eventLoops();

  /** Notes that a connection is being opened. */
  void onConnecting();

  /**
   * Notes an answer that cannot be used.
   *
   * @param attempt the attempt it came for; null for none
   */
  void onMalformedResponse(Upstream upstream, AttemptId attempt, String flaw);
}

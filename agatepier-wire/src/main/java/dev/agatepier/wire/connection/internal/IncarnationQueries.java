package dev.agatepier.wire.connection.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.wire.process.internal.RequestLog;

/** Counts what upstreams say of their incarnation, and logs those that were replaced. */
public final class IncarnationQueries {

  private final Counter listed;
  private final Counter other;
  private final Counter notStated;
  private final Counter disconnected;

  /** Registers the counters. */
  public IncarnationQueries(MetricRegistry metrics) {
    listed = metrics.counter("upstreams.incarnation-listed");
    other = metrics.counter("upstreams.incarnation-other");
    notStated = metrics.counter("upstreams.incarnation-not-stated");
    disconnected = metrics.counter("upstreams.incarnation-disconnected");
  }

  /** Records the result of a query before an attempt. */
  public void record(RunAttempt attempt, IncarnationQuery.Result result) {
    switch (result) {
      case IncarnationQuery.Result.Stated(long incarnation, boolean _) -> {
        if (incarnation == attempt.upstream().incarnation()) {
          listed.inc();
        } else {
          other.inc();
          RequestLog.logUpstreamReplaced(attempt, incarnation);
        }
      }
      case IncarnationQuery.Result.NotStated _ -> notStated.inc();
      case IncarnationQuery.Result.Disconnected() -> disconnected.inc();
    }
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.version.Route;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** How long ago the streams that callers resume can have begun. */
final class StreamLifetimes {

  /** A caller can resume a stream after one attempt and again after a second one. */
  private static final int ATTEMPTS_OF_STREAM = 2;

  private static final long DEFAULT_TIMEOUT_MILLIS = 60_000;

  /** Longest timeout that each route has had, since streams may have begun under that one. */
  private final Map<String, Long> longestTimeoutMillis = new HashMap<>();

  private long longestServiceTimeoutMillis = DEFAULT_TIMEOUT_MILLIS;

  /** Handles the timeouts of a table. */
  void onTableActivated(Table table) {
    List<CallPlan> plans = table.routes().routes().stream().map(Route::plan).toList();
    longestTimeoutMillis.keySet().retainAll(plans.stream().map(CallPlan::route).toList());
    plans.forEach(
        plan -> longestTimeoutMillis.merge(plan.route(), plan.timeoutMillis(), Math::max));
    longestServiceTimeoutMillis =
        table.services().values().stream().mapToLong(ServiceEntry::deadlineMillis).max().orElse(0);
  }

  /** Returns how long before a call the stream that it resumes can have begun. */
  long millis(CallArrived call) {
    long timeoutMillis =
        call.plan()
            .map(
                plan ->
                    Math.max(
                        plan.timeoutMillis(), longestTimeoutMillis.getOrDefault(plan.route(), 0L)))
            .orElse(DEFAULT_TIMEOUT_MILLIS);
    return ATTEMPTS_OF_STREAM * timeoutMillis;
  }

  /** Returns how long before a call the stream that it resumes can have begun, in nanoseconds. */
  long nanos(CallArrived call) {
    return millis(call) * RouterState.NANOS_PER_MILLI;
  }

  /** Returns the longest such time of any call, in nanoseconds. */
  long longestNanos() {
    long longestMillis =
        LongStream.concat(
                LongStream.of(longestServiceTimeoutMillis),
                longestTimeoutMillis.values().stream().mapToLong(Long::longValue))
            .max()
            .orElse(0);
    return ATTEMPTS_OF_STREAM * longestMillis * RouterState.NANOS_PER_MILLI;
  }
}

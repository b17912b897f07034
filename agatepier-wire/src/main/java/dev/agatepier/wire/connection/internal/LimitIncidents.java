package dev.agatepier.wire.connection.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.wire.process.LogEvent;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the requests and connections that met a limit, and logs the begin and the end of each
 * incident, which may have thousands of them. Runs on one event loop.
 */
public final class LimitIncidents {

  private static final Logger LOGGER = LogManager.getLogger(LimitIncidents.class);

  /** Time without a further occurrence after which an incident has ended. */
  private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final MonotonicClock clock;
  private final Map<CallerLimit, Counter> counters = new EnumMap<>(CallerLimit.class);
  private final Map<CallerLimit, Incident> incidents = new EnumMap<>(CallerLimit.class);

  /** An incident that has not ended; times in nanoseconds of the clock. */
  private record Incident(long beginNanos, long lastNanos, long count, String address) {
    private Incident next(long nowNanos) {
      return new Incident(beginNanos, nowNanos, count + 1, address);
    }
  }

  /** Creates the counters in a registry. */
  public LimitIncidents(MonotonicClock clock, MetricRegistry metrics) {
    this.clock = clock;
    for (CallerLimit limit : CallerLimit.values()) {
      counters.put(limit, metrics.counter("callers.limited." + limit.code()));
    }
  }

  /** Records that a request or a connection of an address met a limit. */
  public void record(CallerLimit limit, String address) {
    counters.get(limit).inc();
    long now = clock.nanoTime();
    Incident open = incidents.get(limit);
    if (open == null) {
      LOGGER.warn(
          LogEvent.CALLER_LIMIT_REACHED
              .message()
              .with("limit", limit.code())
              .with("address", address));
      incidents.put(limit, new Incident(now, now, 1, address));
    } else {
      incidents.put(limit, open.next(now));
    }
  }

  /** Ends the incidents that have become quiet. */
  public void endQuiet() {
    long now = clock.nanoTime();
    incidents
        .entrySet()
        .removeIf(
            entry -> {
              Incident incident = entry.getValue();
              boolean quiet = now - incident.lastNanos() > QUIET_NANOS;
              if (quiet) {
                logEnd(entry.getKey(), incident);
              }
              return quiet;
            });
  }

  private static void logEnd(CallerLimit limit, Incident incident) {
    LOGGER.warn(
        LogEvent.CALLER_LIMIT_PASSED
            .message()
            .with("limit", limit.code())
            .with("count", incident.count())
            .with(
                "durationMillis",
                TimeUnit.NANOSECONDS.toMillis(incident.lastNanos() - incident.beginNanos())));
  }
}

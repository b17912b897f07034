package dev.agatepier.wire.process;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.MonotonicClock;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tells whether a front end keeps up with its callers. It does not while the accept queue of the
 * server socket never becomes empty, or while the event loop runs its timers late. All methods but
 * {@link #overloaded} run on the event loop; the gauges are read on any thread.
 */
public final class OverloadMonitor {

  /** Interval at which {@link #onTimer} is to be called, in milliseconds. */
  public static final long TIMER_MILLIS = 100;

  private static final Logger LOGGER = LogManager.getLogger(OverloadMonitor.class);

  /** Time for which the accept queue may hold connections before the front end is overloaded. */
  private static final long MAXIMUM_QUEUE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Delay of a timer above which the event loop is late. */
  private static final long LATE_TIMER_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time for which the event loop may be late before the front end is overloaded. */
  private static final long MAXIMUM_LATE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time for which an overload lasts beyond its last sign. It doubles with each overload that
   * follows soon, as callers come back when the load balancer uses this router again.
   */
  private static final long MINIMUM_HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final long MAXIMUM_HOLD_NANOS = TimeUnit.SECONDS.toNanos(24);

  /** Time after the end of an overload in which a further one counts as following soon. */
  private static final long RECURRENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final MonotonicClock clock;
  private volatile OptionalLong queuedSinceNanos = OptionalLong.empty();
  private OptionalLong lateSinceNanos = OptionalLong.empty();
  private long expectedTimerNanos;
  private volatile long timerDelayNanos;
  private long holdNanos = MINIMUM_HOLD_NANOS;
  private long beginNanos;
  private long endNanos;
  private long closedConnections;
  private volatile boolean overloaded;

  /** Creates the monitor of a front end that is not overloaded. */
  public OverloadMonitor(MonotonicClock clock, MetricRegistry metrics) {
    this.clock = clock;
    this.expectedTimerNanos = clock.nanoTime();
    this.endNanos = expectedTimerNanos - RECURRENCE_NANOS;
    metrics.register("callers.overloaded", (Gauge<Integer>) () -> overloaded ? 1 : 0);
    metrics.register("callers.accept-queue-millis", (Gauge<Long>) () -> millis(queuedNanos()));
    metrics.register("event-loop.delay-millis", (Gauge<Long>) () -> millis(timerDelayNanos));
  }

  /** Returns whether the front end is overloaded, or was until recently. */
  public boolean overloaded() {
    return overloaded;
  }

  /** Returns whether the connections in the accept queue have waited too long. */
  public boolean acceptsTooLate() {
    return queuedNanos() > MAXIMUM_QUEUE_NANOS;
  }

  /**
   * Records that connections were accepted.
   *
   * @param queueEmpty whether the accept queue has no further connection
   */
  public void onAccepted(boolean queueEmpty) {
    if (queueEmpty) {
      queuedSinceNanos = OptionalLong.empty();
    } else if (queuedSinceNanos.isEmpty()) {
      queuedSinceNanos = OptionalLong.of(clock.nanoTime());
    } else if (acceptsTooLate()) {
      beginOrProlong();
    }
  }

  /** Counts a connection that was closed without reading it because it was accepted too late. */
  public void onConnectionClosedUnread() {
    closedConnections++;
  }

  /** Measures how late the event loop is, and ends an overload. */
  public void onTimer() {
    long now = clock.nanoTime();
    timerDelayNanos = Math.max(0, now - expectedTimerNanos);
    expectedTimerNanos = now + TimeUnit.MILLISECONDS.toNanos(TIMER_MILLIS);
    if (timerDelayNanos <= LATE_TIMER_NANOS) {
      lateSinceNanos = OptionalLong.empty();
    } else if (lateSinceNanos.isEmpty()) {
      lateSinceNanos = OptionalLong.of(now);
    } else if (now - lateSinceNanos.getAsLong() > MAXIMUM_LATE_NANOS) {
      beginOrProlong();
    }
    if (overloaded && now - endNanos >= 0) {
      end(now);
    }
  }

  private void beginOrProlong() {
    long now = clock.nanoTime();
    if (!overloaded) {
      boolean recurs = now - endNanos < RECURRENCE_NANOS;
      holdNanos = recurs ? Math.min(MAXIMUM_HOLD_NANOS, 2 * holdNanos) : MINIMUM_HOLD_NANOS;
      beginNanos = now;
      closedConnections = 0;
      overloaded = true;
      LOGGER.warn(
          LogEvent.OVERLOAD_BEGUN
              .message()
              .with("acceptQueueMillis", millis(queuedNanos()))
              .with("eventLoopDelayMillis", millis(timerDelayNanos))
              .with("holdMillis", millis(holdNanos)));
    }
    endNanos = now + holdNanos;
  }

  private void end(long now) {
    overloaded = false;
    endNanos = now;
    LOGGER.warn(
        LogEvent.OVERLOAD_ENDED
            .message()
            .with("durationMillis", millis(now - beginNanos))
            .with("closedConnections", closedConnections));
  }

  private long queuedNanos() {
    OptionalLong since = queuedSinceNanos;
    return since.isEmpty() ? 0 : clock.nanoTime() - since.getAsLong();
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}

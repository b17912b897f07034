package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.version.CallerBounds;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Enforces the idle timeout and the header timeout of a caller connection. Runs on the event loop
 * of the socket.
 */
final class CallerTimeouts {

  private final Channel channel;
  private final MonotonicClock clock;
  private final Supplier<CallerBounds> bounds;
  private final BooleanSupplier idle;
  private final Runnable onHeadTimeout;

  /**
   * When the connection became idle, and when the first byte of the head was received, in
   * nanoseconds of the process clock.
   */
  private long idleSinceNanos;

  private long headSinceNanos;
  private boolean readingHead;
  private boolean stopped;

  /**
   * Creates the timeouts; {@link #start} schedules the first check.
   *
   * @param channel channel of the connection
   * @param clock clock of the process
   * @param bounds current idle and header timeouts
   * @param idle returns whether no request is in flight
   * @param onHeadTimeout rejects a head that takes too long
   */
  CallerTimeouts(
      Channel channel,
      MonotonicClock clock,
      Supplier<CallerBounds> bounds,
      BooleanSupplier idle,
      Runnable onHeadTimeout) {
    this.channel = channel;
    this.clock = clock;
    this.bounds = bounds;
    this.idle = idle;
    this.onHeadTimeout = onHeadTimeout;
  }

  void start() {
    onIdle();
    check();
  }

  /** Restarts the idle timeout. */
  void onIdle() {
    idleSinceNanos = clock.nanoTime();
  }

  /** Starts the header timeout at the first bytes of a head; later ones have no effect. */
  void onHeadBytes() {
    if (!readingHead) {
      readingHead = true;
      headSinceNanos = clock.nanoTime();
    }
  }

  void onHeadCompleted() {
    readingHead = false;
  }

  /** Returns whether a head is partly received. */
  boolean readingHead() {
    return readingHead;
  }

  /** Stops the checks because the connection is about to be closed. */
  void stop() {
    stopped = true;
  }

  private void check() {
    if (!channel.isOpen() || stopped) {
      return;
    }
    CallerBounds limits = bounds.get();
    long remaining =
        readingHead ? remainingMillis(headSinceNanos, limits.headerMillis()) : Long.MAX_VALUE;
    if (idle.getAsBoolean()) {
      remaining = Math.min(remaining, remainingMillis(idleSinceNanos, limits.idleMillis()));
    }
    if (remaining <= 0 && readingHead) {
      onHeadTimeout.run();
    } else if (remaining <= 0) {
      channel.close();
    } else {
      long delay = Math.clamp(remaining, 1, limits.headerMillis());
      channel.eventLoop().schedule(this::check, delay, TimeUnit.MILLISECONDS);
    }
  }

  private long remainingMillis(long sinceNanos, long timeoutMillis) {
    return timeoutMillis - TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - sinceNanos);
  }
}

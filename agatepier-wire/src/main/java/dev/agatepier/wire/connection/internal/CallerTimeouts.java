package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.version.CallerBounds;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Ends a caller's connection that stays idle, or that sends the head of a request too slowly. All
 * of it runs on the socket's event loop.
 */
final class CallerTimeouts {

  private final Channel channel;
  private final MonotonicClock clock;
  private final Supplier<CallerBounds> bounds;
  private final BooleanSupplier idle;
  private final Runnable headTooSlow;

  /** When the connection last had nothing to do, and when the first byte of a head came. */
  private long idleSinceNanos;

  private long headSinceNanos;
  private boolean inHead;
  private boolean ended;

  /**
   * Creates the watch of a connection.
   *
   * @param channel the connection's socket
   * @param clock the process's clock
   * @param bounds how long a caller may take
   * @param idle tells whether no request is under way
   * @param headTooSlow refuses a head that takes too long
   */
  CallerTimeouts(
      Channel channel,
      MonotonicClock clock,
      Supplier<CallerBounds> bounds,
      BooleanSupplier idle,
      Runnable headTooSlow) {
    this.channel = channel;
    this.clock = clock;
    this.bounds = bounds;
    this.idle = idle;
    this.headTooSlow = headTooSlow;
  }

  void start() {
    onIdle();
    watch();
  }

  /** Notes that the connection has nothing to do from now on. */
  void onIdle() {
    idleSinceNanos = clock.nanoTime();
  }

  /** Notes a byte of a head; the first one counts. */
  void onHeadBytes() {
    if (!inHead) {
      inHead = true;
      headSinceNanos = clock.nanoTime();
    }
  }

  void onHeadCompleted() {
    inHead = false;
  }

  /** Returns whether a head has begun and not ended. */
  boolean readingHead() {
    return inHead;
  }

  /** Watches no further: the connection is about to be closed. */
  void stop() {
    ended = true;
  }

  private void watch() {
    if (!channel.isOpen() || ended) {
      return;
    }
    CallerBounds limits = bounds.get();
    long left = inHead ? millisLeft(headSinceNanos, limits.headerMillis()) : Long.MAX_VALUE;
    if (idle.getAsBoolean()) {
      left = Math.min(left, millisLeft(idleSinceNanos, limits.idleMillis()));
    }
    if (left <= 0 && inHead) {
      headTooSlow.run();
    } else if (left <= 0) {
      channel.close();
    } else {
      long delay = Math.clamp(left, 1, limits.headerMillis());
      channel.eventLoop().schedule(this::watch, delay, TimeUnit.MILLISECONDS);
    }
  }

  private long millisLeft(long sinceNanos, long spanMillis) {
    return spanMillis - TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - sinceNanos);
  }
}

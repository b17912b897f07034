package dev.agatepier.standin.connection.internal;

import dev.agatepier.standin.connection.DirectionFaults;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * FIFO queue that releases each item after the delay, jitter and transfer time of one direction.
 *
 * @param <T> type of the items
 */
final class DelayLine<T> {

  private record DelayedItem<T>(T item, long dueNanos) {}

  private final Deque<DelayedItem<T>> items = new ArrayDeque<>();
  private final SplittableRandom random;
  private DirectionFaults faults;
  private long lastDueNanos;

  DelayLine(DirectionFaults faults, SplittableRandom random, long nowNanos) {
    this.faults = faults;
    this.random = random;
    this.lastDueNanos = nowNanos;
  }

  /** Replaces the faults; queued items keep their due times, but none is released while frozen. */
  void updateFaults(DirectionFaults newFaults) {
    faults = newFaults;
  }

  /** Returns whether items that arrive now are to be dropped. */
  boolean dropsArrivals() {
    return faults.swallow();
  }

  /** Appends an item of a size in bytes. */
  void add(T item, int bytes, long nowNanos) {
    long jitterNanos =
        faults.jitterMillis() == 0
            ? 0
            : random.nextLong(TimeUnit.MILLISECONDS.toNanos(faults.jitterMillis()) + 1);
    long arrivalNanos =
        nowNanos + TimeUnit.MILLISECONDS.toNanos(faults.delayMillis()) + jitterNanos;
    long transferNanos =
        faults.bytesPerSecond() == 0
            ? 0
            : TimeUnit.SECONDS.toNanos(1) * bytes / faults.bytesPerSecond();
    long startNanos = arrivalNanos - lastDueNanos > 0 ? arrivalNanos : lastDueNanos;
    lastDueNanos = startNanos + transferNanos;
    items.add(new DelayedItem<>(item, lastDueNanos));
  }

  /** Removes and returns the first item if it is due and the direction is not frozen. */
  Optional<T> poll(long nowNanos) {
    if (faults.freeze() || items.isEmpty() || items.peek().dueNanos() - nowNanos > 0) {
      return Optional.empty();
    }
    return Optional.of(items.poll().item());
  }

  /** Removes and returns the first item, due or not. */
  Optional<T> pollNow() {
    return items.isEmpty() ? Optional.empty() : Optional.of(items.poll().item());
  }

  /** Returns the nanoseconds until the first item is due; empty if frozen or without items. */
  OptionalLong nanosUntilDue(long nowNanos) {
    return faults.freeze() || items.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, items.peek().dueNanos() - nowNanos));
  }
}

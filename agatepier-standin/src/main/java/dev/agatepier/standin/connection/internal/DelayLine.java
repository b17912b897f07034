package dev.agatepier.standin.connection.internal;

import dev.agatepier.standin.connection.DirectionFaults;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Holds what travels in one direction until it is due; the order is kept.
 *
 * @param <T> what travels
 */
final class DelayLine<T> {

  private record DelayedItem<T>(T item, long dueNanos) {}

  private final Deque<DelayedItem<T>> held = new ArrayDeque<>();
  private final SplittableRandom random;
  private DirectionFaults faults;
  private long lastDueNanos;

  DelayLine(DirectionFaults faults, SplittableRandom random, long nowNanos) {
    this.faults = faults;
    this.random = random;
    this.lastDueNanos = nowNanos;
  }

  /** Changes the faults; what is held stays due when it was, but for a freeze. */
  void updateFaults(DirectionFaults newFaults) {
    faults = newFaults;
  }

  /** Returns whether what arrives now is lost. */
  boolean dropsArrivals() {
    return faults.swallow();
  }

  /** Takes an item of a size. */
  void add(T item, int bytes, long nowNanos) {
    long jitterNanos =
        faults.jitterMillis() == 0
            ? 0
            : random.nextLong(TimeUnit.MILLISECONDS.toNanos(faults.jitterMillis()) + 1);
    long arrival = nowNanos + TimeUnit.MILLISECONDS.toNanos(faults.delayMillis()) + jitterNanos;
    long transferNanos =
        faults.bytesPerSecond() == 0
            ? 0
            : TimeUnit.SECONDS.toNanos(1) * bytes / faults.bytesPerSecond();
    long begin = arrival - lastDueNanos > 0 ? arrival : lastDueNanos;
    lastDueNanos = begin + transferNanos;
    held.add(new DelayedItem<>(item, lastDueNanos));
  }

  /** Takes out the first item if it is due. */
  Optional<T> poll(long nowNanos) {
    if (faults.freeze() || held.isEmpty() || held.peek().dueNanos() - nowNanos > 0) {
      return Optional.empty();
    }
    return Optional.of(held.poll().item());
  }

  /** Takes out the first item whether it is due or not. */
  Optional<T> pollNow() {
    return held.isEmpty() ? Optional.empty() : Optional.of(held.poll().item());
  }

  /** Returns the time until the first item is due, in nanoseconds, if time brings it. */
  OptionalLong nanosUntilDue(long nowNanos) {
    return faults.freeze() || held.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, held.peek().dueNanos() - nowNanos));
  }
}

package dev.agatepier.core.process;

/** A clock that never goes back; only differences of its readings mean anything. */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the reading, in nanoseconds. */
  long nanoTime();
}

package dev.agatepier.core.process;

/** A clock that never goes backwards. Only the difference of two readings is meaningful. */
@FunctionalInterface
public interface MonotonicClock {

  /** Returns the current reading, in nanoseconds since an arbitrary origin. */
  long nanoTime();
}

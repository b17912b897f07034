package dev.agatepier.core.process;

import java.util.List;

/**
 * A state machine without clock, socket or thread: it changes its own state and says what to do.
 *
 * @param <E> events it decides about
 * @param <F> effects it asks for
 */
public interface Decision<E, F> {

  /**
   * Decides about one event.
   *
   * @param event what happened
   * @param nowNanos the process's monotonic clock, in nanoseconds
   * @return what to do, in order
   */
  List<F> decide(E event, long nowNanos);

  /** Returns whether nothing is under way that the passing of time soon changes. */
  default boolean idle() {
    return false;
  }
}

package dev.agatepier.core.process;

import java.util.List;

/**
 * A deterministic state machine that uses no clock, socket or thread of its own. It updates its
 * state on each event and returns the effects that its caller must carry out.
 *
 * @param <E> type of the events
 * @param <F> type of the effects
 */
public interface Decision<E, F> {

  /**
   * Processes one event.
   *
   * @param event what happened
   * @param nowNanos current reading of the process's monotonic clock, in nanoseconds
   * @return the effects, in the order in which they must be carried out
   */
  List<F> decide(E event, long nowNanos);

  /** Returns whether there is no work in progress that depends on frequent timer events. */
  default boolean idle() {
    return false;
  }
}

package dev.agatepier.core.process;

/**
 * Where other tasks leave messages for a task.
 *
 * @param <M> messages it takes
 */
@FunctionalInterface
public interface Mailbox<M> {

  /**
   * Leaves a message; never blocks.
   *
   * @return false if the mailbox is full or its task has stopped, and the message was not taken
   */
  boolean offer(M message);
}

package dev.agatepier.core.process;

/**
 * The message queue of a task, as its senders see it.
 *
 * @param <M> type of the messages
 */
@FunctionalInterface
public interface Mailbox<M> {

  /**
   * Enqueues a message without blocking.
   *
   * @return false if the message was rejected because the mailbox is full or closed
   */
  boolean offer(M message);
}

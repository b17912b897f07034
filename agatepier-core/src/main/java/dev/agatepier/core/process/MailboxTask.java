package dev.agatepier.core.process;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;

/**
 * A bounded mailbox drained by one handler on one scheduler worker, so that the handler's state
 * needs no lock. Nothing runs while the mailbox is empty.
 *
 * @param <M> messages it takes
 */
public final class MailboxTask<M> implements Mailbox<M>, AutoCloseable {

  /** Messages handled before the worker is given to other tasks. */
  private static final int BATCH = 256;

  private final Queue<M> queue = new ConcurrentLinkedQueue<>();

  /** Messages for which room is taken, at most the capacity. */
  private final AtomicInteger reserved = new AtomicInteger();

  /** Messages that are in the queue for certain. */
  private final AtomicInteger queued = new AtomicInteger();

  private final int capacity;
  private final Scheduler.Worker worker;
  private final Consumer<M> handler;
  private final Consumer<Throwable> failures;
  private volatile boolean closed;

  /**
   * Creates the task.
   *
   * @param capacity most messages that may wait
   * @param worker worker that runs the handler; disposed of by {@link #close}
   * @param handler changes the task's state
   * @param failures told of what the handler throws; the task goes on with the next message
   */
  public MailboxTask(
      int capacity, Scheduler.Worker worker, Consumer<M> handler, Consumer<Throwable> failures) {
    this.capacity = capacity;
    this.worker = worker;
    this.handler = handler;
    this.failures = failures;
  }

  @Override
  public boolean offer(M message) {
    if (closed) {
      return false;
    }
    int before = reserved.getAndUpdate(count -> count < capacity ? count + 1 : count);
    if (before >= capacity) {
      return false;
    }
    enqueue(message);
    return true;
  }

  /**
   * Leaves a message that must not be lost, beyond the capacity if need be. Only for messages whose
   * number something else bounds, such as one for each change of a link.
   */
  public void post(M message) {
    if (!closed) {
      reserved.incrementAndGet();
      enqueue(message);
    }
  }

  /** Takes no further message and releases the worker. */
  @Override
  public void close() {
    closed = true;
    worker.dispose();
  }

  private void enqueue(M message) {
    queue.add(message);
    if (queued.getAndIncrement() == 0) {
      scheduleDrain();
    }
  }

  /** What is left when the task has been closed is dropped with it. */
  private void scheduleDrain() {
    try {
      worker.schedule(this::drain);
    } catch (RejectedExecutionException rejected) {
      if (!closed) {
        throw rejected;
      }
    }
  }

  private void drain() {
    int count = Math.min(queued.get(), BATCH);
    for (int taken = 0; taken < count; taken++) {
      handle(queue.poll());
    }
    reserved.addAndGet(-count);
    if (queued.addAndGet(-count) > 0) {
      scheduleDrain();
    }
  }

  private void handle(M message) {
    try {
      handler.accept(message);
    } catch (RuntimeException failure) {
      failures.accept(failure);
    }
  }
}

package dev.agatepier.core.process;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;

/**
 * A bounded mailbox whose messages one handler processes on one scheduler worker, so that the state
 * of the handler needs no lock. No thread is used while the mailbox is empty.
 *
 * @param <M> type of the messages
 */
public final class MailboxTask<M> implements Mailbox<M>, AutoCloseable {

  /** Maximum number of messages processed before the worker yields to other tasks. */
  private static final int MAXIMUM_BATCH = 256;

  private final Queue<M> queue = new ConcurrentLinkedQueue<>();

  /** Number of reserved places. {@link #offer} keeps it within the capacity. */
  private final AtomicInteger reserved = new AtomicInteger();

  /** Number of messages whose insertion into the queue has completed. */
  private final AtomicInteger queued = new AtomicInteger();

  private final int capacity;
  private final Scheduler.Worker worker;
  private final Consumer<M> handler;
  private final Consumer<Throwable> failureHandler;
  private volatile boolean closed;

  /**
   * Creates the task.
   *
   * @param capacity maximum number of queued messages
   * @param worker runs the handler; {@link #close} disposes of it
   * @param handler processes one message
   * @param failureHandler receives exceptions of the handler; the task continues with the next
   *     message
   */
  public MailboxTask(
      int capacity,
      Scheduler.Worker worker,
      Consumer<M> handler,
      Consumer<Throwable> failureHandler) {
    this.capacity = capacity;
    this.worker = worker;
    this.handler = handler;
    this.failureHandler = failureHandler;
  }

  @Override
  public boolean offer(M message) {
    if (closed) {
      return false;
    }
    int previous = reserved.getAndUpdate(count -> count < capacity ? count + 1 : count);
    if (previous >= capacity) {
      return false;
    }
    enqueue(message);
    return true;
  }

  /**
   * Enqueues a message that must not be lost, even if that exceeds the capacity. Use it only for
   * messages whose number is bounded otherwise, such as one for each state change of a link.
   */
  public void post(M message) {
    if (!closed) {
      reserved.incrementAndGet();
      enqueue(message);
    }
  }

  /** Rejects further messages and disposes of the worker. Queued messages are dropped. */
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

  /** Schedules a batch. Messages that are left when the task is closed are dropped. */
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
    int count = Math.min(queued.get(), MAXIMUM_BATCH);
    for (int handled = 0; handled < count; handled++) {
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
      failureHandler.accept(failure);
    }
  }
}

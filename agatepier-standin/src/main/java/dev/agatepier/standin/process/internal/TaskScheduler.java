package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.MailboxTask;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Runs the tasks of a stand-in and their timers on a single thread. */
public final class TaskScheduler implements AutoCloseable {

  /** Maximum number of messages in the mailbox of a task. */
  public static final int MAILBOX_CAPACITY = 65_536;

  private static final long CLOSE_GRACE_MILLIS = 200;

  private final Scheduler scheduler;

  /** Creates the scheduler; its thread has the given name. */
  public TaskScheduler(String name) {
    this.scheduler = Schedulers.newSingle(name, true);
  }

  /** Creates a task on this thread. */
  public <M> MailboxTask<M> task(Consumer<M> handler) {
    return new MailboxTask<>(
        MAILBOX_CAPACITY, scheduler.createWorker(), handler, TaskScheduler::report);
  }

  /**
   * Runs an action, usually the sending of a message, after a delay; does nothing once the thread
   * has stopped.
   */
  public void after(long delayNanos, Runnable action) {
    try {
      scheduler.schedule(action, delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException closed) {
      // The stand-in has stopped, so no task is left to handle its timers.
      return;
    }
  }

  /** Stops the thread after a grace period, in which the tasks handle their last messages. */
  @Override
  public void close() {
    scheduler.schedule(scheduler::dispose, CLOSE_GRACE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static void report(Throwable failure) {
    System.err.println(
        Json.object().put("event", "task-failed").put("message", String.valueOf(failure)));
  }
}

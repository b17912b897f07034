package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

public class MailboxTaskTest {

  private final FakeWorker worker = new FakeWorker();
  private final List<String> handled = new ArrayList<>();
  private final List<Throwable> failures = new ArrayList<>();

  @Test
  public void handlesInOrderAndSchedulesOnce() {
    MailboxTask<String> task = new MailboxTask<>(10, worker, handled::add, failures::add);
    task.offer("a");
    task.offer("b");
    assertEquals(worker.scheduled.size(), 1);
    worker.runAll();
    assertEquals(handled, List.of("a", "b"));
    assertTrue(worker.scheduled.isEmpty(), "nothing is scheduled while the mailbox is empty");
  }

  @Test
  public void rejectsWhenFullAndAcceptsAgainAfterDraining() {
    List<Integer> numbers = new ArrayList<>();
    FakeWorker separateWorker = new FakeWorker();
    MailboxTask<Integer> task = new MailboxTask<>(2, separateWorker, numbers::add, failures::add);
    assertTrue(task.offer(1));
    assertTrue(task.offer(2));
    assertFalse(task.offer(3));
    separateWorker.runAll();
    assertTrue(task.offer(4));
    separateWorker.runAll();
    assertEquals(numbers, List.of(1, 2, 4));
  }

  @Test
  public void continuesAfterFailingMessage() {
    List<Integer> numbers = new ArrayList<>();
    FakeWorker separateWorker = new FakeWorker();
    MailboxTask<Integer> task =
        new MailboxTask<>(10, separateWorker, number -> numbers.add(10 / number), failures::add);
    task.offer(0);
    task.offer(5);
    separateWorker.runAll();
    assertEquals(numbers, List.of(2));
    assertEquals(failures.size(), 1);
  }

  @Test
  public void rejectsMessagesAfterClose() {
    MailboxTask<String> task = new MailboxTask<>(10, new FakeWorker(), handled::add, failures::add);
    task.close();
    assertFalse(task.offer("after close"));
  }

  /** Runs scheduled tasks on request of the test. */
  private static final class FakeWorker implements Scheduler.Worker {
    private final Deque<Runnable> scheduled = new ArrayDeque<>();

    @Override
    public Disposable schedule(Runnable task) {
      scheduled.add(task);
      return Disposables.disposed();
    }

    @Override
    public void dispose() {
      scheduled.clear();
    }

    void runAll() {
      while (!scheduled.isEmpty()) {
        scheduled.poll().run();
      }
    }
  }

  /** When a task closes itself, its queued messages are dropped without an error on its worker. */
  @Test
  public void closesWithQueuedMessages() throws InterruptedException {
    List<Throwable> uncaught = new CopyOnWriteArrayList<>();
    Schedulers.onHandleError("closing", (thread, failure) -> uncaught.add(failure));
    Scheduler single = Schedulers.newSingle("closing");
    CountDownLatch filled = new CountDownLatch(1);
    AtomicReference<MailboxTask<Integer>> task = new AtomicReference<>();
    task.set(
        new MailboxTask<>(
            1_000,
            single.createWorker(),
            message -> {
              awaitLatch(filled);
              task.get().close();
            },
            uncaught::add));
    for (int message = 0; message < 1_000; message++) {
      task.get().offer(message);
    }
    filled.countDown();
    single.disposeGracefully().block(Duration.ofSeconds(10));
    Schedulers.resetOnHandleError("closing");
    assertEquals(uncaught, List.of());
  }

  private static void awaitLatch(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}

package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

public class DecisionTaskTest {

  private final FakeScheduler scheduler = new FakeScheduler();
  private final List<String> decided = new ArrayList<>();
  private boolean idle = true;

  @Test
  public void ticksAtIdleIntervalAndReturnsToShortIntervalOnWork() {
    DecisionTask<String, String> task =
        new DecisionTask<>(new FakeDecision(), effect -> {}, 10, scheduler, () -> 0, failure -> {});
    task.startTicks("tick", 25, 250);
    assertEquals(scheduler.delays, List.of(250L));
    scheduler.runDelayed();
    task.offer("still idle");
    assertEquals(scheduler.delays, List.of(250L, 250L));
    idle = false;
    task.offer("work");
    task.offer("more");
    assertEquals(scheduler.delays, List.of(250L, 250L, 25L));
    scheduler.runDelayed();
    assertEquals(scheduler.delays.getLast(), 25L);
    idle = true;
    scheduler.runDelayed();
    assertEquals(scheduler.delays.getLast(), 250L);
    assertEquals(decided, List.of("tick", "still idle", "work", "more", "tick", "tick"));
  }

  /** Records its events and reports the idle state that the test sets. */
  private final class FakeDecision implements Decision<String, String> {
    @Override
    public List<String> decide(String event, long nowNanos) {
      decided.add(event);
      return List.of();
    }

    @Override
    public boolean idle() {
      return idle;
    }
  }

  /** Runs undelayed tasks at once and the last delayed task on request of the test. */
  private static final class FakeScheduler implements Scheduler {
    private final List<Long> delays = new ArrayList<>();
    private Runnable delayed = () -> {};

    @Override
    public Disposable schedule(Runnable task) {
      task.run();
      return Disposables.disposed();
    }

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
      delays.add(unit.toMillis(delay));
      delayed = task;
      return Disposables.single();
    }

    @Override
    public Worker createWorker() {
      return new Worker() {
        @Override
        public Disposable schedule(Runnable task) {
          return FakeScheduler.this.schedule(task);
        }

        @Override
        public void dispose() {}
      };
    }

    void runDelayed() {
      delayed.run();
    }
  }
}

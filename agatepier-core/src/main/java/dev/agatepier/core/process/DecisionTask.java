package dev.agatepier.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * A task that owns a decision. It passes events to the decision one at a time and carries out the
 * effects of each event before it processes the next one.
 *
 * @param <E> type of the events
 * @param <F> type of the effects
 */
public final class DecisionTask<E, F> implements Mailbox<E>, ManagedService {

  private final Decision<E, F> decision;
  private final Consumer<F> effectHandler;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Consumer<Throwable> failureHandler;
  private final MailboxTask<Step<E>> mailbox;
  private final Disposable.Swap nextTick = Disposables.swap();
  private StartTicks<E> ticks;
  private boolean nextTickIsLong;

  /** A message in the mailbox of the task. */
  private sealed interface Step<E> {}

  /** Passes an event to the decision. */
  private record HandleEvent<E>(E event) implements Step<E> {}

  /** Starts the periodic timer event. */
  private record StartTicks<E>(E event, long busyMillis, long idleMillis) implements Step<E> {}

  /** The timer of the periodic event has expired. */
  private record Tick<E>() implements Step<E> {}

  /** Runs a query of the state of the decision. */
  private record Query<E>(Consumer<Long> query) implements Step<E> {}

  /**
   * Creates the task. It accepts events immediately, before {@link #start} is called.
   *
   * @param decision the decision; nothing else may use it afterwards
   * @param effectHandler carries out one effect; must not block
   * @param capacity maximum number of queued events
   * @param scheduler provides the worker and the timer
   * @param clock the process's monotonic clock
   * @param failureHandler receives exceptions of the decision and of the effect handler
   */
  public DecisionTask(
      Decision<E, F> decision,
      Consumer<F> effectHandler,
      int capacity,
      Scheduler scheduler,
      MonotonicClock clock,
      Consumer<Throwable> failureHandler) {
    this.decision = decision;
    this.effectHandler = effectHandler;
    this.clock = clock;
    this.scheduler = scheduler;
    this.failureHandler = failureHandler;
    this.mailbox =
        new MailboxTask<>(capacity, scheduler.createWorker(), this::handle, failureHandler);
  }

  @Override
  public boolean offer(E event) {
    return mailbox.offer(new HandleEvent<>(event));
  }

  /** Enqueues an event even if the mailbox is full; see {@link MailboxTask#post}. */
  public void post(E event) {
    mailbox.post(new HandleEvent<>(event));
  }

  /**
   * Processes an event periodically until the task is stopped, with a longer interval while the
   * decision is idle.
   *
   * @param event the timer event
   * @param busyMillis interval while the decision is not idle, in milliseconds
   * @param idleMillis interval while the decision is idle, in milliseconds
   */
  public void startTicks(E event, long busyMillis, long idleMillis) {
    mailbox.post(new StartTicks<>(event, busyMillis, idleMillis));
  }

  /**
   * Runs a query on the task, between two events.
   *
   * @param query receives the current reading of the monotonic clock, in nanoseconds
   */
  public <A> CompletableFuture<A> ask(LongFunction<A> query) {
    CompletableFuture<A> result = new CompletableFuture<>();
    mailbox.post(new Query<>(now -> result.complete(query.apply(now))));
    return result;
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    nextTick.dispose();
    mailbox.close();
    return CompletableFuture.completedFuture(null);
  }

  private void handle(Step<E> step) {
    switch (step) {
      case HandleEvent<E>(E event) -> decide(event);
      case Query<E>(Consumer<Long> query) -> query.accept(clock.nanoTime());
      case StartTicks<E> start -> {
        ticks = start;
        scheduleTick();
      }
      case Tick<E>() -> {
        scheduleTick();
        decide(ticks.event());
      }
    }
    if (nextTickIsLong && !decision.idle()) {
      scheduleTick();
    }
  }

  /** Carries out one effect. A failure does not prevent the effects after it. */
  private void perform(F effect) {
    try {
      effectHandler.accept(effect);
    } catch (RuntimeException failure) {
      failureHandler.accept(failure);
    }
  }

  private void decide(E event) {
    decision.decide(event, clock.nanoTime()).forEach(this::perform);
  }

  private void scheduleTick() {
    nextTickIsLong = decision.idle();
    long delayMillis = nextTickIsLong ? ticks.idleMillis() : ticks.busyMillis();
    nextTick.update(
        scheduler.schedule(() -> mailbox.post(new Tick<>()), delayMillis, TimeUnit.MILLISECONDS));
  }
}

package dev.agatepier.core.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

/**
 * The task that owns a decision: it hands the decision one event at a time and has the effects
 * carried out before the next.
 *
 * @param <E> events of the decision
 * @param <F> effects of the decision
 */
public final class DecisionTask<E, F> implements Mailbox<E>, ManagedService {

  private final Decision<E, F> decision;
  private final Consumer<F> performer;
  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final Consumer<Throwable> failures;
  private final MailboxTask<Step<E>> mailbox;
  private final Disposable.Swap nextTick = Disposables.swap();
  private Ticking<E> ticking;
  private boolean nextTickIsLong;

  /** One thing to do for the task. */
  private sealed interface Step<E> {}

  /** An event to decide about. */
  private record Happened<E>(E event) implements Step<E> {}

  /** The event that stands for the passing of time is due from now on. */
  private record Ticking<E>(E event, long busyMillis, long idleMillis) implements Step<E> {}

  /** Time has passed. */
  private record Ticked<E>() implements Step<E> {}

  /** A question about the state of the decision. */
  private record Asked<E>(Consumer<Long> question) implements Step<E> {}

  /**
   * Creates the task; it takes events at once.
   *
   * @param decision decision that nobody else may use from now on
   * @param performer carries out one effect, without blocking
   * @param capacity most events that may wait
   * @param scheduler gives the worker and the timer
   * @param clock the process's monotonic clock
   * @param failures told of what decision or performer throw
   */
  public DecisionTask(
      Decision<E, F> decision,
      Consumer<F> performer,
      int capacity,
      Scheduler scheduler,
      MonotonicClock clock,
      Consumer<Throwable> failures) {
    this.decision = decision;
    this.performer = performer;
    this.clock = clock;
    this.scheduler = scheduler;
    this.failures = failures;
    this.mailbox = new MailboxTask<>(capacity, scheduler.createWorker(), this::handle, failures);
  }

  @Override
  public boolean offer(E event) {
    return mailbox.offer(new Happened<>(event));
  }

  /** Leaves an event that must not be lost; see {@link MailboxTask#post}. */
  public void post(E event) {
    mailbox.post(new Happened<>(event));
  }

  /**
   * Leaves an event again and again, until the task is stopped; less often while the decision is
   * idle.
   *
   * @param event stands for the passing of time
   * @param busyMillis time between two events, in milliseconds
   * @param idleMillis the same while the decision is idle
   */
  public void repeat(E event, long busyMillis, long idleMillis) {
    mailbox.post(new Ticking<>(event, busyMillis, idleMillis));
  }

  /**
   * Asks a question on the task, between two events.
   *
   * @param question is given the clock's reading, in nanoseconds
   */
  public <A> CompletableFuture<A> ask(LongFunction<A> question) {
    CompletableFuture<A> answer = new CompletableFuture<>();
    mailbox.post(new Asked<>(now -> answer.complete(question.apply(now))));
    return answer;
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
      case Happened<E>(E event) -> decide(event);
      case Asked<E>(Consumer<Long> question) -> question.accept(clock.nanoTime());
      case Ticking<E> began -> {
        ticking = began;
        tickLater();
      }
      case Ticked<E>() -> {
        tickLater();
        decide(ticking.event());
      }
    }
    if (nextTickIsLong && !decision.idle()) {
      tickLater();
    }
  }

  /** One effect that fails keeps none of the others from being carried out. */
  private void perform(F effect) {
    try {
      performer.accept(effect);
    } catch (RuntimeException failure) {
      failures.accept(failure);
    }
  }

  private void decide(E event) {
    decision.decide(event, clock.nanoTime()).forEach(this::perform);
  }

  private void tickLater() {
    nextTickIsLong = decision.idle();
    long delayMillis = nextTickIsLong ? ticking.idleMillis() : ticking.busyMillis();
    nextTick.update(
        scheduler.schedule(() -> mailbox.post(new Ticked<>()), delayMillis, TimeUnit.MILLISECONDS));
  }
}

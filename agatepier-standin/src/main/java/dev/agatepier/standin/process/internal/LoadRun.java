package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.ServiceCaller;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.request.PlannedCall;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Starts planned calls at their intended times, whether or not earlier ones have ended (an open
 * loop).
 */
final class LoadRun {

  private sealed interface Message {
    record CallsDue() implements Message {}

    record CallEnded(CallResult result, long latenessNanos) implements Message {}
  }

  private final List<PlannedCall> plan;
  private final List<Endpoint> routers;
  private final ServiceCaller caller;
  private final TaskScheduler scheduler;
  private final LoadStatistics statistics;
  private final MailboxTask<Message> task;
  private final CompletableFuture<LoadStatistics.Result> finished = new CompletableFuture<>();
  private final long startNanos = System.nanoTime();
  private int next;
  private int ended;

  private LoadRun(
      List<PlannedCall> plan,
      List<Endpoint> routers,
      ServiceCaller caller,
      TaskScheduler scheduler,
      LoadStatistics statistics) {
    this.plan = plan;
    this.routers = routers;
    this.caller = caller;
    this.scheduler = scheduler;
    this.statistics = statistics;
    this.task = scheduler.task(this::handle);
  }

  /** Runs a plan. The future completes when every call has ended. */
  static CompletableFuture<LoadStatistics.Result> start(
      List<PlannedCall> plan,
      List<Endpoint> routers,
      ServiceCaller caller,
      TaskScheduler scheduler,
      LoadStatistics statistics) {
    LoadRun run = new LoadRun(plan, routers, caller, scheduler, statistics);
    run.task.offer(new Message.CallsDue());
    return run.finished;
  }

  private void handle(Message message) {
    switch (message) {
      case Message.CallsDue due -> startDueCalls();
      case Message.CallEnded end -> {
        statistics.add(end.result(), end.latenessNanos());
        ended++;
      }
    }
    if (ended == plan.size()) {
      finished.complete(statistics.result());
    }
  }

  private void startDueCalls() {
    long now = System.nanoTime() - startNanos;
    while (next < plan.size() && plan.get(next).atNanos() <= now) {
      call(plan.get(next));
      next++;
    }
    if (next < plan.size()) {
      scheduler.after(plan.get(next).atNanos() - now, () -> task.offer(new Message.CallsDue()));
    }
  }

  private void call(PlannedCall planned) {
    long lateness = System.nanoTime() - startNanos - planned.atNanos();
    caller
        .call(routers.get(planned.router()), planned.workspace(), planned.call())
        .thenAccept(
            result -> task.offer(new Message.CallEnded(result.withStartDelay(lateness), lateness)));
  }
}

package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.PlainCall;
import dev.agatepier.standin.request.RunRecord;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The queue and workers of the plain service stand-in. Their state is owned by one mailbox task.
 */
final class PlainTask {

  private static final int MAXIMUM_WAITING = 10_000;

  /** Sends a message to this task after a delay. */
  @FunctionalInterface
  interface Timer {
    void after(long delayNanos, Message message);
  }

  /** Messages to the task. */
  sealed interface Message {
    /** A call arrived. */
    record Submit(RunRecord record, PlainCall call, CompletableFuture<Reply> reply)
        implements Message {}

    /** A call was served. */
    record Served(Submit work) implements Message {}

    /**
     * Changes the service time, in milliseconds, and the number of workers; a time below 0 or a
     * number below 1 leaves the value as it is.
     */
    record PutSettings(long serviceMillis, int concurrency, CompletableFuture<Reply> reply)
        implements Message {}
  }

  private final Timer timer;
  private final Consumer<RunRecord> log;
  private final Deque<Message.Submit> waiting = new ArrayDeque<>();
  private long serviceMillis;
  private int concurrency;
  private int running;

  PlainTask(long serviceMillis, int concurrency, Timer timer, Consumer<RunRecord> log) {
    this.serviceMillis = serviceMillis;
    this.concurrency = concurrency;
    this.timer = timer;
    this.log = log;
  }

  void handle(Message message) {
    switch (message) {
      case Message.Submit submit when waiting.size() >= MAXIMUM_WAITING -> {
        log.accept(submit.record().withState(RunRecord.State.CUT));
        submit.reply().complete(Reply.error(503, "too many calls wait"));
      }
      case Message.Submit submit -> waiting.add(submit);
      case Message.Served served -> onServed(served.work());
      case Message.PutSettings put -> putSettings(put);
    }
    admit();
  }

  private void admit() {
    while (running < concurrency && !waiting.isEmpty()) {
      running++;
      timer.after(TimeUnit.MILLISECONDS.toNanos(serviceMillis), new Message.Served(waiting.poll()));
    }
  }

  private void onServed(Message.Submit work) {
    running--;
    log.accept(work.record().withState(RunRecord.State.WHOLE));
    work.reply().complete(Reply.json(200, work.call().responseBody()));
  }

  private void putSettings(Message.PutSettings put) {
    serviceMillis = put.serviceMillis() < 0 ? serviceMillis : put.serviceMillis();
    concurrency = put.concurrency() < 1 ? concurrency : put.concurrency();
    put.reply()
        .complete(
            Reply.json(
                200,
                Json.object()
                    .put("serviceMillis", serviceMillis)
                    .put("concurrency", concurrency)
                    .toString()));
  }
}

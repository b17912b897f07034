package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.standin.request.RunRecord;
import dev.agatepier.standin.request.internal.EngineStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The continuous batch of the engine stand-in. Its state is owned by one mailbox task. */
final class EngineTask {

  /** Maximum deviation of a step's duration from {@link EngineStepTime}, as a fraction of it. */
  private static final double JITTER_SHARE = 0.05;

  /** Sends a message to this task after a delay. */
  @FunctionalInterface
  interface Timer {
    void after(long delayNanos, EngineMessage message);
  }

  /**
   * Load as served under {@code /load}.
   *
   * @param running running streams
   * @param waiting accepted requests that wait for a place in the batch
   * @param batch maximum number of concurrently running streams
   */
  record Load(int running, int waiting, int batch) {}

  private final MonotonicClock clock;
  private final Timer timer;
  private final Consumer<RunRecord> log;
  private final SplittableRandom random;
  private final Deque<EngineStream> waiting = new ArrayDeque<>();
  private final List<EngineStream> running = new ArrayList<>();
  private EngineSettings settings;
  private EngineStepTime stepTime;
  private PrefixCache cache;
  private boolean stepping;
  private long prefillEndNanos;
  private Load reported;

  EngineTask(
      EngineSettings settings,
      long seed,
      MonotonicClock clock,
      Timer timer,
      Consumer<RunRecord> log) {
    this.settings = settings;
    this.clock = clock;
    this.timer = timer;
    this.log = log;
    this.random = new SplittableRandom(seed);
    this.stepTime = EngineStepTime.of(settings);
    this.cache = new PrefixCache(settings.cachePrefixes());
    this.reported = load();
    this.prefillEndNanos = clock.nanoTime();
    scheduleLoadSample();
  }

  void handle(EngineMessage message) {
    switch (message) {
      case EngineMessage.Submit submit -> submit(submit.stream());
      case EngineMessage.Cancel cancel -> cancel(cancel.stream());
      case EngineMessage.Step step -> step();
      case EngineMessage.SampleLoad sample -> {
        reported = load();
        scheduleLoadSample();
      }
      case EngineMessage.PutSettings put -> putSettings(put);
      case EngineMessage.ReadLoad read -> read.reply().complete(Reply.json(200, loadReport()));
    }
  }

  private void submit(EngineStream stream) {
    waiting.add(stream);
    admit();
  }

  private void cancel(EngineStream stream) {
    if (waiting.remove(stream) || running.remove(stream)) {
      log.accept(stream.record().withState(RunRecord.State.CUT));
      admit();
    }
  }

  private void step() {
    stepping = false;
    long now = clock.nanoTime();
    for (Iterator<EngineStream> each = running.iterator(); each.hasNext(); ) {
      EngineStream stream = each.next();
      if (stream.step(now)) {
        each.remove();
        log.accept(stream.record().withState(RunRecord.State.WHOLE));
        stream.complete();
      }
    }
    admit();
  }

  private void admit() {
    while (running.size() < settings.batch() && !waiting.isEmpty()) {
      EngineStream stream = waiting.poll();
      stream.setPrefillEnd(prefill(stream));
      running.add(stream);
    }
    if (!stepping && !running.isEmpty()) {
      stepping = true;
      double deviation = 1 + JITTER_SHARE * (2 * random.nextDouble() - 1);
      timer.after(
          Math.round(stepTime.stepNanos(running.size()) * deviation), new EngineMessage.Step());
    }
  }

  /**
   * Returns the time at which the prefill of a prompt ends; prompts are prefilled one after the
   * other.
   */
  private long prefill(EngineStream stream) {
    List<String> words = stream.call().promptWords();
    int uncached = words.size() - cache.insert(words);
    long now = clock.nanoTime();
    long startNanos = prefillEndNanos - now > 0 ? prefillEndNanos : now;
    double seconds = uncached / settings.prefillTokensPerSecond();
    prefillEndNanos = startNanos + Math.round(seconds * TimeUnit.SECONDS.toNanos(1));
    return prefillEndNanos;
  }

  private void putSettings(EngineMessage.PutSettings put) {
    try {
      JsonNode changes = put.changes();
      settings =
          new EngineSettings(
              changes.path("batch").asInt(settings.batch()),
              changes.path("bestBatch").asInt(settings.bestBatch()),
              changes.path("tokenMillis").asDouble(settings.tokenMillis()),
              changes.path("prefillTokensPerSecond").asDouble(settings.prefillTokensPerSecond()),
              changes.path("cachePrefixes").asInt(settings.cachePrefixes()),
              changes.path("loadLagMillis").asLong(settings.loadLagMillis()));
    } catch (IllegalArgumentException invalid) {
      put.reply().complete(Reply.error(400, invalid.getMessage()));
      return;
    }
    stepTime = EngineStepTime.of(settings);
    cache = new PrefixCache(settings.cachePrefixes());
    admit();
    put.reply().complete(Reply.json(200, Json.write(settings)));
  }

  private void scheduleLoadSample() {
    timer.after(
        TimeUnit.MILLISECONDS.toNanos(settings.loadLagMillis()), new EngineMessage.SampleLoad());
  }

  private Load load() {
    return new Load(running.size(), waiting.size(), settings.batch());
  }

  private String loadReport() {
    return Json.write(reported);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.UpstreamLoadReport;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * An engine in steps of a millisecond: it prefills one prompt after the other, decodes all running
 * responses together, and at times other programs slow its machine. Its speed and those times are
 * the ones that the design page of the second customer states.
 */
final class PacedEngine {

  static final int SLOTS = 64;
  static final long MEMORY_TOKENS = 672_702;

  private static final double MILLIS_PER_TOKEN = 0.0171;
  private static final double PREFILL_MILLIS = 5;
  private static final double STEP_MILLIS = 3.8;

  /** Running responses that double the time of a step. */
  private static final double DOUBLING_RESPONSES = 32;

  private static final double SLOWDOWN = 2.5;
  private static final double SLOW_MILLIS = 600;
  private static final int HISTORY_MILLIS = 1_024;
  private static final double SLOW_SHARE = 0.15;

  private final double speed;
  private final Random random;
  private final Consumer<Job> started;
  private final Consumer<Job> completed;
  private final Deque<Job> prefills = new ArrayDeque<>();
  private final PriorityQueue<Job> decoding =
      new PriorityQueue<>(Comparator.comparingDouble(job -> job.endStep));
  private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
  private long cachedTokens;
  private long ownParts;
  private final int[][] history = new int[HISTORY_MILLIS][];
  private long age;
  private double steps;
  private double headMillis;
  private boolean slow;
  private double phaseMillis;

  int prefixesPrefilled;
  long busyMillis;

  /** A request on the engine. */
  static final class Job {
    final Object request;
    final String prefix;
    final int prefixTokens;
    final int ownTokens;
    final int outputTokens;
    private double endStep;

    Job(Object request, String prefix, int prefixTokens, int ownTokens, int outputTokens) {
      this.request = request;
      this.prefix = prefix;
      this.prefixTokens = prefixTokens;
      this.ownTokens = ownTokens;
      this.outputTokens = outputTokens;
    }
  }

  PacedEngine(double speed, long seed, Consumer<Job> started, Consumer<Job> completed) {
    this.speed = speed;
    this.random = new Random(seed);
    this.started = started;
    this.completed = completed;
    Arrays.fill(history, figures());
    this.phaseMillis = random.nextDouble() * SLOW_MILLIS / SLOW_SHARE;
  }

  void submit(Job job) {
    prefills.add(job);
    if (prefills.size() == 1) {
      startPrefill();
    }
  }

  /** Lets a millisecond pass. */
  void step() {
    history[(int) (++age % history.length)] = figures();
    phaseMillis--;
    if (phaseMillis <= 0) {
      slow = !slow;
      double mean = slow ? SLOW_MILLIS : SLOW_MILLIS * (1 - SLOW_SHARE) / SLOW_SHARE;
      phaseMillis = mean * (0.5 + random.nextDouble());
    }
    steps += 1 / (STEP_MILLIS * (1 + decoding.size() / DOUBLING_RESPONSES) * pace());
    while (!decoding.isEmpty() && decoding.peek().endStep <= steps) {
      completed.accept(decoding.poll());
    }
    if (!prefills.isEmpty()) {
      busyMillis++;
      headMillis -= 1 / pace();
      if (headMillis <= 0) {
        Job job = prefills.remove();
        job.endStep = steps + job.outputTokens;
        decoding.add(job);
        started.accept(job);
        if (!prefills.isEmpty()) {
          startPrefill();
        }
      }
    }
  }

  /** Returns the time that the work accepted so far takes at the pace of this moment. */
  double pendingMillis() {
    double millis = prefills.isEmpty() ? 0 : headMillis;
    boolean head = true;
    for (Job job : prefills) {
      millis += head ? 0 : PREFILL_MILLIS + MILLIS_PER_TOKEN * uncachedTokens(job);
      head = false;
    }
    return millis * pace();
  }

  /** Starts to count again. */
  void resetCounts() {
    prefixesPrefilled = 0;
    busyMillis = 0;
  }

  int prefills() {
    return prefills.size();
  }

  int requests() {
    return prefills.size() + decoding.size();
  }

  /** Returns the load of some time ago, as the header of a response states it. */
  UpstreamLoadReport report(int ageMillis, boolean withPace) {
    int[] figures = history[(int) Math.floorMod(age - ageMillis, (long) history.length)];
    return new UpstreamLoadReport(
        figures[0], figures[1], SLOTS, withPace ? OptionalInt.of(figures[2]) : OptionalInt.empty());
  }

  private int[] figures() {
    return new int[] {
      decoding.size() + Math.min(1, prefills.size()),
      Math.max(0, prefills.size() - 1),
      (int) Math.round(100 * pace())
    };
  }

  private double pace() {
    return speed * (slow ? SLOWDOWN : 1);
  }

  private int uncachedTokens(Job job) {
    return job.ownTokens + (cache.containsKey(job.prefix) ? 0 : job.prefixTokens);
  }

  private void startPrefill() {
    Job job = prefills.peek();
    headMillis = PREFILL_MILLIS + MILLIS_PER_TOKEN * uncachedTokens(job);
    if (cache.put(job.prefix, job.prefixTokens) == null) {
      prefixesPrefilled++;
      cachedTokens += job.prefixTokens;
    }
    cache.put("own " + ++ownParts, job.ownTokens);
    cachedTokens += job.ownTokens;
    while (cachedTokens > MEMORY_TOKENS) {
      String oldest = cache.keySet().iterator().next();
      cachedTokens -= cache.remove(oldest);
    }
  }
}

package dev.agatepier.core.process;

import java.util.PriorityQueue;
import java.util.Random;

/** Virtual clock with an event queue, and the random source of a simulation. */
final class VirtualTime {

  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final Random random;
  private long nowMillis;
  private long actionCount;

  private record Action(long atMillis, long number, Runnable body) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  VirtualTime(long seed) {
    random = new Random(seed);
  }

  long nowMillis() {
    return nowMillis;
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  int draw(int bound) {
    return random.nextInt(bound);
  }

  void after(long millis, Runnable body) {
    actions.add(new Action(nowMillis + millis, ++actionCount, body));
  }

  /** Runs the actions up to a time, including it. */
  void runUntil(long millis) {
    while (!actions.isEmpty() && actions.peek().atMillis() <= millis) {
      Action action = actions.poll();
      nowMillis = action.atMillis();
      action.body().run();
    }
  }

  void run() {
    runUntil(Long.MAX_VALUE);
  }
}

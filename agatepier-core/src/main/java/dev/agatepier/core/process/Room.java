package dev.agatepier.core.process;

/**
 * What is free for further requests at an upstream or, as the sum over upstreams, in a data centre.
 * What a request needs are the parameters of the questions.
 *
 * @param slots free slots; negative if other senders use more than there are
 * @param memoryTokens free memory of engines, in tokens, with the expected output of the running
 *     requests deducted and shared parts of their prompts counted once; infinite if it does not
 *     limit requests
 * @param workMillis expected time of the work that precedes a new request, on one upstream
 * @param parallelism requests that are processed beside each other without slowdown
 */
public record Room(int slots, double memoryTokens, double workMillis, int parallelism) {

  /** The room of no upstreams. */
  public static final Room NONE = new Room(0, 0, 0, 0);

  private static final double NANOS_PER_MILLI = 1e6;

  /** Returns the room of both. */
  public Room plus(Room other) {
    return new Room(
        slots + other.slots,
        memoryTokens + other.memoryTokens,
        workMillis + other.workMillis,
        parallelism + other.parallelism);
  }

  /** Returns the room behind further work that waits. */
  public Room behind(double waitingMillis) {
    return new Room(slots, memoryTokens, waitingMillis + workMillis, parallelism);
  }

  /** Returns whether there are a slot and memory for a request that needs the given memory. */
  public boolean holds(double neededTokens) {
    return slots > 0 && neededTokens <= memoryTokens;
  }

  /** Returns the expected wait of a new request, in milliseconds; there must be an upstream. */
  public double waitMillis() {
    return workMillis / parallelism;
  }

  /**
   * Returns whether work is done within a time.
   *
   * @param expectedMillis expected wait and work, in milliseconds
   * @param timeNanos the time that is left
   */
  public static boolean isWithin(double expectedMillis, long timeNanos) {
    return (long) (expectedMillis * NANOS_PER_MILLI) <= timeNanos;
  }
}

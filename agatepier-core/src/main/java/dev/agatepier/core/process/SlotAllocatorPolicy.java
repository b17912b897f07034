package dev.agatepier.core.process;

/**
 * What operators may set about how slots are kept.
 *
 * @param backlogMillis reading of prompts that may be queued at a model engine when it is granted
 *     another request, in milliseconds
 * @param memoryShare share of a model engine's memory that running requests may take, from 0 to 1
 * @param stallMillis time without any progress after which an upstream counts as stalled, in
 *     milliseconds
 * @param lateMillis how long a request waits on after it can no longer meet its objective, in
 *     milliseconds
 * @param retryAfterMillis advice to a caller whose request got no slot, in milliseconds
 * @param costWindowMillis time over which operators compare what workspaces get, in milliseconds:
 *     older cost counts for little in the order of the workspaces; 0 if it always counts in full
 */
public record SlotAllocatorPolicy(
    long backlogMillis,
    double memoryShare,
    long stallMillis,
    long lateMillis,
    long retryAfterMillis,
    long costWindowMillis) {

  /** The values used where settings say nothing; docs/decisions/0011 gives the rounds. */
  public static final SlotAllocatorPolicy DEFAULT =
      new SlotAllocatorPolicy(80, 0.92, 1_500, 0, 1_000, 0);

  /** Checks that every value is in range. */
  public SlotAllocatorPolicy {
    if (backlogMillis < 0
        || stallMillis < 1
        || lateMillis < 0
        || retryAfterMillis < 0
        || costWindowMillis < 0) {
      throw new IllegalArgumentException("a time of the slot keeper policy is out of range");
    }
    if (!(memoryShare > 0 && memoryShare <= 1)) {
      throw new IllegalArgumentException("memory share " + memoryShare + " is not from 0 to 1");
    }
  }
}

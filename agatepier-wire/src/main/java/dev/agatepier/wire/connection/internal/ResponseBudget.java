package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.MemoryBudget;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Bounds the bytes of incomplete responses and events that a process buffers at any time. Once they
 * exceed the bound, the largest is given up, so that a faulty upstream cannot use up the memory of
 * the others. All methods but {@link #totalBytes} run on one event loop.
 */
public final class ResponseBudget {

  /** Size of content on its way to a caller from which on it is counted. */
  private static final long COUNTED_BYTES = 16_384;

  private final long maximumBytes;
  private final Runnable onGivenUp;
  private final MemoryBudget memory;
  private final Map<Holder, Long> heldBytes = new HashMap<>();
  private final Set<Holder> paused = new HashSet<>();
  private volatile long totalBytes;

  /** Holds the buffered part of one response. */
  interface Holder {

    /** Reads on after {@link #pauses} returned true. */
    void resumeReading();

    /** Drops the buffered part and ends the response as failed. */
    void giveUp();
  }

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maximumBytes maximum bytes of all holders together
   * @param memory budget of the process, in which the bytes count too
   * @param onGivenUp called for each response that is given up
   */
  public ResponseBudget(long maximumBytes, MemoryBudget memory, Runnable onGivenUp) {
    this.maximumBytes = maximumBytes;
    this.memory = memory;
    this.onGivenUp = onGivenUp;
  }

  /** Returns whether a holder has to stop reading since the memory of the process is scarce. */
  boolean pauses(Holder holder) {
    return memory.isScarce() && (paused.contains(holder) || paused.add(holder));
  }

  /**
   * Counts the content of a response that is on its way to its caller. It is passed on by tasks
   * that run after the present ones; until then, nothing else counts it.
   *
   * @param tasks runs tasks in the order in which they are added
   */
  public void passOn(long bytes, Executor tasks) {
    if (bytes >= COUNTED_BYTES) {
      memory.addPassing(bytes);
      tasks.execute(
          () -> {
            memory.addPassing(-bytes);
            if (!memory.isScarce()) {
              resumePaused();
            }
          });
    }
  }

  /** Closes idle holders of memory if responses wait for it, and reads on with each response. */
  public void relieve() {
    if (!paused.isEmpty()) {
      memory.relieve();
      resumePaused();
    }
  }

  private void resumePaused() {
    List<Holder> resumed = List.copyOf(paused);
    paused.clear();
    resumed.forEach(Holder::resumeReading);
  }

  /** Sets the bytes of a holder; gives up the largest holders while there are too many. */
  void set(Holder holder, long bytes) {
    if (bytes == 0) {
      paused.remove(holder);
    }
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    memory.setResponses(totalBytes);
    while (totalBytes > maximumBytes) {
      Holder largest =
          heldBytes.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
      set(largest, 0);
      onGivenUp.run();
      largest.giveUp();
    }
  }

  /** Returns the bytes of all holders. */
  public long totalBytes() {
    return totalBytes;
  }
}

package dev.agatepier.wire.connection.internal;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the bytes of incomplete responses and events that a process buffers at any time. Once they
 * exceed the bound, the largest is given up, so that a faulty upstream cannot use up the memory of
 * the others. All methods but {@link #totalBytes} run on one event loop.
 */
public final class ResponseBudget {

  private final long maximumBytes;
  private final Runnable onGivenUp;
  private final Map<Holder, Long> heldBytes = new HashMap<>();
  private volatile long totalBytes;

  /** Holds the buffered part of one response. */
  interface Holder {

    /** Drops the buffered part and ends the response as failed. */
    void giveUp();
  }

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maximumBytes maximum bytes of all holders together
   * @param onGivenUp called for each response that is given up
   */
  public ResponseBudget(long maximumBytes, Runnable onGivenUp) {
    this.maximumBytes = maximumBytes;
    this.onGivenUp = onGivenUp;
  }

  /** Sets the bytes of a holder; gives up the largest holders while there are too many. */
  void set(Holder holder, long bytes) {
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
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

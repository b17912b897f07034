package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import java.util.Comparator;

/** One request that waits at a slot keeper. */
final class WaitingEntry {

  /** Orders by when the answer is due, so that the one with the least slack comes first. */
  static final Comparator<WaitingEntry> BY_DUE =
      Comparator.<WaitingEntry>comparingLong(entry -> entry.dueNanos)
          .thenComparingLong(entry -> entry.sequence);

  private static final long NANOS_PER_MILLI = 1_000_000;

  final String router;
  final WaitingCall call;
  final long sequence;
  final long arrivedNanos;

  /** When the answer should begin. */
  final long dueNanos;

  WaitingEntry(String router, WaitingCall call, long sequence, long nowNanos) {
    this.router = router;
    this.call = call;
    this.sequence = sequence;
    this.arrivedNanos = nowNanos;
    this.dueNanos = nowNanos + call.objectiveMillis() * NANOS_PER_MILLI;
  }

  String workspace() {
    return call.workspace();
  }

  /** Returns how long the request has waited here, in milliseconds. */
  long waitedMillis(long nowNanos) {
    return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the time until its answer should begin, in milliseconds. */
  long slackMillis(long nowNanos) {
    return (dueNanos - nowNanos) / NANOS_PER_MILLI;
  }

  /** Returns whether an answer that begins after a time meets the objective. */
  boolean meetsObjective(double expectedMillis, long nowNanos) {
    return nowNanos + (long) (expectedMillis * NANOS_PER_MILLI) <= dueNanos;
  }
}

package dev.agatepier.core.process.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The allocator's own requests at an upstream during the last second. */
final class OwnLoadHistory {

  /** Time for which entries are kept: older statements of load have little weight. */
  private static final long KEPT_NANOS = 1_000_000_000L;

  /** Entries that are closer than this are merged: clocks and transit times vary by as much. */
  private static final long MERGED_NANOS = 1_000_000L;

  private final Deque<Entry> entries = new ArrayDeque<>();

  /**
   * The load from a time on.
   *
   * @param nanos the time
   * @param requests requests with a slot
   * @param pending those whose response has not started
   */
  record Entry(long nanos, int requests, int pending) {}

  OwnLoadHistory() {
    entries.add(new Entry(Long.MIN_VALUE / 2, 0, 0));
  }

  /** Adds the load after a change. */
  void record(int requests, int pending, long nowNanos) {
    Entry last = entries.getLast();
    if (nowNanos - last.nanos() < MERGED_NANOS) {
      entries.removeLast();
      entries.add(new Entry(last.nanos(), requests, pending));
    } else {
      entries.add(new Entry(nowNanos, requests, pending));
    }
    while (entries.size() > 1 && secondNanos() <= nowNanos - KEPT_NANOS) {
      entries.removeFirst();
    }
  }

  /** Returns the load at a time; the oldest one that is known if that is earlier. */
  Entry at(long nanos) {
    Iterator<Entry> newestFirst = entries.descendingIterator();
    while (newestFirst.hasNext()) {
      Entry entry = newestFirst.next();
      if (entry.nanos() <= nanos) {
        return entry;
      }
    }
    return entries.getFirst();
  }

  private long secondNanos() {
    Iterator<Entry> oldestFirst = entries.iterator();
    oldestFirst.next();
    return oldestFirst.next().nanos();
  }
}

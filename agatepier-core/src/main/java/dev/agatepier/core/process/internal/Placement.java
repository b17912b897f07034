package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;

/** Finds a slot for each request that waits, in one of the ways in which slots are kept. */
interface Placement {

  /** Takes in a request that begins to wait, for the first time or after it was parked. */
  void add(RoutedRequest request, long nowNanos);

  /** Takes in a request that waits again after an attempt at a target that is to be avoided. */
  void requeue(RoutedRequest request, String avoided, long nowNanos);

  /** Drops a request that no longer waits though it found no slot. */
  void remove(RoutedRequest request);

  /** Notes that a request that waited is sent to a target. */
  void recordStarted(RoutedRequest request, long nowNanos);

  /** Notes that the answer to a request has begun. */
  void recordResponseStarted(RoutedRequest request);

  /** Notes that a request has left its target. */
  void recordReleased(RoutedRequest request, SlotStage stage, long nowNanos);

  /** Takes one attempt beyond the first, if the budget has one. */
  boolean takeRetry(RoutedRequest request, long nowNanos);
}

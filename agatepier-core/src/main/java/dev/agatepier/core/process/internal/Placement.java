package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;

/** Obtains a slot for each waiting request, from sidecars or from slot allocators. */
interface Placement {

  /** Adds a request that starts to wait, for the first time or after it was parked. */
  void add(RoutedRequest request, long nowNanos);

  /** Adds a request that waits again after an attempt; the attempt's target is to be avoided. */
  void requeue(RoutedRequest request, String avoided, long nowNanos);

  /** Returns whether any upstream can serve a request, so that it may wait. */
  boolean isServed(RoutedRequest request, long nowNanos);

  /** Returns whether no upstream can serve any request of a service. */
  boolean isWithoutUpstreams(String service, long nowNanos);

  /** Removes a waiting request that needs no slot any more. */
  void remove(RoutedRequest request);

  /** Records that a waiting request is sent to a target. */
  void recordStarted(RoutedRequest request, long nowNanos);

  /** Records that the response to a request has started. */
  void recordResponseStarted(RoutedRequest request, long nowNanos);

  /** Records that a request has released its slot. */
  void recordReleased(RoutedRequest request, SlotStage stage, long nowNanos);

  /** Records that a request ends without a complete response. */
  void recordFailed(RoutedRequest request);

  /** Takes one retry from the retry budget; returns whether one was available. */
  boolean tryAcquireRetry(RoutedRequest request, long nowNanos);
}

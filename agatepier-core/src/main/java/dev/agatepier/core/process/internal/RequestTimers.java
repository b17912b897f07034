package dev.agatepier.core.process.internal;

import java.util.Comparator;
import java.util.TreeSet;

/** Requests in the order of their timers. */
final class RequestTimers {

  private final TreeSet<RoutedRequest> requests =
      new TreeSet<>(
          Comparator.<RoutedRequest>comparingLong(request -> request.timerNanos)
              .thenComparingLong(request -> request.sequence));

  void add(RoutedRequest request) {
    requests.add(request);
  }

  void remove(RoutedRequest request) {
    requests.remove(request);
  }

  /** Changes the timer of a request. */
  void reschedule(RoutedRequest request, long timeNanos) {
    requests.remove(request);
    request.timerNanos = timeNanos;
    requests.add(request);
  }

  /** Removes and returns a request whose timer is due, or returns null. */
  RoutedRequest pollDue(long nowNanos) {
    boolean isDue = !requests.isEmpty() && requests.first().timerNanos <= nowNanos;
    return isDue ? requests.pollFirst() : null;
  }
}

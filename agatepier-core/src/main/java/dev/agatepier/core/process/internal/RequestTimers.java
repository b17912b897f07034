package dev.agatepier.core.process.internal;

import java.util.Comparator;
import java.util.TreeSet;

/** Requests by the time at which each must be looked at next. */
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

  /** Sets another time for a request. */
  void reschedule(RoutedRequest request, long timeNanos) {
    requests.remove(request);
    request.timerNanos = timeNanos;
    requests.add(request);
  }

  /** Removes and returns a request whose time has come, or returns null. */
  RoutedRequest pollDue(long nowNanos) {
    boolean isDue = !requests.isEmpty() && requests.first().timerNanos <= nowNanos;
    return isDue ? requests.pollFirst() : null;
  }
}

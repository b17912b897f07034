package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.AttemptId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Attempts that must run exclusively and wait until no other attempt runs, oldest first. */
final class ExclusiveAttemptQueue {
  private final Deque<RunningAttempt> waiting = new ArrayDeque<>();

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  void add(RunningAttempt attempt) {
    waiting.add(attempt);
  }

  Optional<RunningAttempt> removeFirst() {
    return Optional.ofNullable(waiting.poll());
  }

  Optional<RunningAttempt> remove(AttemptId id) {
    return removeAll(attempt -> attempt.start.attempt().equals(id)).stream().findFirst();
  }

  List<RunningAttempt> removeAll(Predicate<RunningAttempt> condition) {
    List<RunningAttempt> removed = waiting.stream().filter(condition).toList();
    waiting.removeAll(removed);
    return removed;
  }
}

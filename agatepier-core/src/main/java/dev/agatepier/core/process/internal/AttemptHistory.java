package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.AttemptId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers of every attempt whether it was started or is never to run, so that none runs twice and
 * none runs after the router was told that it does not.
 */
public final class AttemptHistory {

  /** What is known of an attempt. */
  public enum Status {
    /** Not heard of before. */
    NEW,
    /** Handed to the upstream once. */
    STARTED,
    /** Must never run. */
    NEVER_RUN,
    /** Heard of so long ago that it is not known which. */
    EVICTED
  }

  /** Attempts remembered of one router incarnation. */
  private static final int REMEMBERED_ATTEMPTS = 8_192;

  /** Time for which marks outlive the last link of their router. */
  private static final long UNLINKED_NANOS = TimeUnit.MINUTES.toNanos(10);

  private record Source(String router, long incarnation) {}

  private static final class Marks {
    final Map<AttemptId, Status> byAttempt = new LinkedHashMap<>();
    long forgottenUpTo;
    boolean linked = true;
    long unlinkedNanos;
  }

  private final Map<Source, Marks> bySource = new HashMap<>();

  /** Returns what is known of an attempt. */
  public Status statusOf(AttemptId attempt) {
    Marks marks = bySource.get(source(attempt));
    if (marks == null) {
      return Status.NEW;
    }
    Status unknown = attempt.request().number() <= marks.forgottenUpTo ? Status.EVICTED : Status.NEW;
    return marks.byAttempt.getOrDefault(attempt, unknown);
  }

  /** Marks an attempt; the first mark stays. */
  public void recordStatus(AttemptId attempt, Status mark) {
    Marks marks = bySource.computeIfAbsent(source(attempt), source -> new Marks());
    marks.byAttempt.putIfAbsent(attempt, mark);
    if (marks.byAttempt.size() > REMEMBERED_ATTEMPTS) {
      Iterator<AttemptId> oldest = marks.byAttempt.keySet().iterator();
      marks.forgottenUpTo = Math.max(marks.forgottenUpTo, oldest.next().request().number());
      oldest.remove();
    }
  }

  /** Notes a link; the marks of earlier incarnations of the router are dropped. */
  public void onRouterConnected(String router, long incarnation) {
    bySource
        .keySet()
        .removeIf(source -> source.router().equals(router) && source.incarnation() != incarnation);
    bySource.computeIfAbsent(new Source(router, incarnation), source -> new Marks()).linked = true;
  }

  /** Notes that a link is gone. */
  public void onRouterDisconnected(String router, long incarnation, long nowNanos) {
    Marks marks = bySource.get(new Source(router, incarnation));
    if (marks != null) {
      marks.linked = false;
      marks.unlinkedNanos = nowNanos;
    }
  }

  /** Drops the marks of routers that have long been gone. */
  public void expire(long nowNanos) {
    bySource
        .values()
        .removeIf(marks -> !marks.linked && nowNanos - marks.unlinkedNanos > UNLINKED_NANOS);
  }

  private static Source source(AttemptId attempt) {
    return new Source(attempt.request().router(), attempt.request().incarnation());
  }
}

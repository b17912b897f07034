package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.AttemptId;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Records which attempts were started and which must never run, so that no attempt runs twice and
 * none runs after the router was informed that it does not.
 */
public final class AttemptHistory {

  /** What a sidecar knows of an attempt. */
  public enum Status {
    /** Not seen before. */
    NEW,
    /** Already handled: sent to the upstream, replayed or failed. It must not start again. */
    STARTED,
    /** Refused or withdrawn before it started. It must never run. */
    NEVER_RUN,
    /** Not recorded, but old enough that its status may have been evicted. */
    EVICTED
  }

  /** Maximum number of attempts recorded per router incarnation. */
  private static final int MAXIMUM_ATTEMPTS = 8_192;

  /** Time for which the attempts of a router are kept after its link was lost. */
  private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

  private record Sender(String router, long incarnation) {}

  private static final class Attempts {
    final Map<AttemptId, Status> byAttempt = new LinkedHashMap<>();
    long evictedUpTo;
    boolean connected = true;
    long disconnectedNanos;
  }

  private final Map<Sender, Attempts> bySender = new HashMap<>();

  /**
   * Returns the recorded status of an attempt; if there is none, {@code NEW} or {@code EVICTED}.
   */
  public Status statusOf(AttemptId attempt) {
    Attempts attempts = bySender.get(senderOf(attempt));
    if (attempts == null) {
      return Status.NEW;
    }
    Status unrecorded =
        attempt.request().number() <= attempts.evictedUpTo ? Status.EVICTED : Status.NEW;
    return attempts.byAttempt.getOrDefault(attempt, unrecorded);
  }

  /** Records the status of an attempt unless one is already recorded. */
  public void recordStatus(AttemptId attempt, Status status) {
    Attempts attempts = bySender.computeIfAbsent(senderOf(attempt), key -> new Attempts());
    attempts.byAttempt.putIfAbsent(attempt, status);
    if (attempts.byAttempt.size() > MAXIMUM_ATTEMPTS) {
      Iterator<AttemptId> oldest = attempts.byAttempt.keySet().iterator();
      attempts.evictedUpTo = Math.max(attempts.evictedUpTo, oldest.next().request().number());
      oldest.remove();
    }
  }

  /** Records that a router is connected, and drops the attempts of its other incarnations. */
  public void onRouterConnected(String router, long incarnation) {
    bySender
        .keySet()
        .removeIf(key -> key.router().equals(router) && key.incarnation() != incarnation);
    bySender.computeIfAbsent(new Sender(router, incarnation), key -> new Attempts()).connected =
        true;
  }

  /** Records that a router is disconnected, which starts the retention time of its attempts. */
  public void onRouterDisconnected(String router, long incarnation, long nowNanos) {
    Attempts attempts = bySender.get(new Sender(router, incarnation));
    if (attempts != null) {
      attempts.connected = false;
      attempts.disconnectedNanos = nowNanos;
    }
  }

  /**
   * Drops the attempts of routers that have been disconnected for longer than the retention time.
   */
  public void expire(long nowNanos) {
    bySender
        .values()
        .removeIf(
            attempts ->
                !attempts.connected && nowNanos - attempts.disconnectedNanos > RETENTION_NANOS);
  }

  private static Sender senderOf(AttemptId attempt) {
    return new Sender(attempt.request().router(), attempt.request().incarnation());
  }
}

package dev.agatepier.core.process.internal;

import java.util.OptionalLong;

/**
 * Whether the process that an entry of the instance list describes still runs at its address. An
 * upstream may start again under its name with another software version, and its entry follows
 * later. A connection that broke or was refused is taken for the end of the process, until a
 * request that was sent before another one can have started is responded to after it. Connections
 * may go on breaking: each such response shows that the process ran until then, and that requests
 * sent meanwhile reached it. A process that has stated to be another one is taken for it until its
 * entry should be in the list.
 */
final class ProcessContinuity {

  /** Shortest time after which a process that ended is replaced by one that accepts connections. */
  private static final long RESTART_NANOS = 300_000_000L;

  /**
   * Time after which the list has the entry of a new process: it registers with its first
   * heartbeat, a second after its start at the latest, and the list follows within the second.
   */
  private static final long REGISTRATION_NANOS = 5_000_000_000L;

  /** Time by which a router may report a response later than another one reports a break. */
  private static final long REPORT_NANOS = 200_000_000L;

  /** Whether a connection broke after the last sign of life. */
  private boolean broken;

  /** Earliest time at which the process may have ended. */
  private long earliestEndNanos;

  private long lastBrokenNanos;
  private OptionalLong replacedNanos = OptionalLong.empty();

  /** Records that a connection broke or was refused. */
  void onDisconnected(long nowNanos) {
    if (!broken) {
      broken = true;
      earliestEndNanos = nowNanos;
    }
    lastBrokenNanos = nowNanos;
  }

  /** Records that the process at the address has stated that it is another one. */
  void onReplaced(long nowNanos) {
    replacedNanos = OptionalLong.of(nowNanos);
  }

  /** Records the start or the end of a response to a request that was sent at a time. */
  void onResponse(long sentNanos, long nowNanos) {
    if (broken && sentNanos - earliestEndNanos < RESTART_NANOS) {
      long aliveNanos = nowNanos - REPORT_NANOS;
      broken = lastBrokenNanos - aliveNanos > 0;
      earliestEndNanos = Math.max(earliestEndNanos, aliveNanos);
    }
  }

  /** Returns whether a request that is sent at a time may reach a later process. */
  boolean mayBeReplaced(long sentNanos) {
    boolean replaced =
        replacedNanos.isPresent() && sentNanos - replacedNanos.getAsLong() < REGISTRATION_NANOS;
    return replaced
        || broken
            && sentNanos - earliestEndNanos >= RESTART_NANOS
            && sentNanos - lastBrokenNanos < REGISTRATION_NANOS;
  }
}

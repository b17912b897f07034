package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.CallerReturn;
import dev.agatepier.core.process.Room;
import java.util.Comparator;

/** A request that waits for a slot at a slot allocator. */
final class WaitingEntry {

  /**
   * Order of service within a workspace: streams that go on first, since what their callers have is
   * lost otherwise; then the earliest due time; then the order of arrival.
   */
  static final Comparator<WaitingEntry> SERVICE_ORDER =
      Comparator.<WaitingEntry, Boolean>comparing(entry -> !entry.continuesStream())
          .thenComparingLong(entry -> entry.dueNanos)
          .thenComparingLong(entry -> entry.sequence);

  private static final long NANOS_PER_MILLI = 1_000_000;

  final String router;
  final WaitingCall call;
  final long sequence;
  final long arrivedNanos;

  /**
   * Time by which the response should start; for a request that was late on its arrival, the time
   * until which it waits.
   */
  final long dueNanos;

  /** Whether the objective counts from the caller's first attempt. */
  final boolean fromFirstAttempt;

  /** Whether the objective of the caller was over before the request arrived. */
  final boolean late;

  /** Time of the caller's first attempt, as far as known. */
  final long firstNanos;

  /** Whether its caller was rejected here before, and has kept to its retry time. */
  CallerReturn callerReturn = CallerReturn.NONE;

  /** Time at which its caller was advised to come back; only if it was rejected here before. */
  long returnNanos;

  /** Version of the table from which the router took the allowed regions. */
  final long tableVersion;

  /** What its upstream must be, by the newest table that is known here. */
  UpstreamRequirements requirements;

  /** Time until the first byte that it takes at the upstream, as last estimated. */
  double workMillis;

  /**
   * Creates an entry.
   *
   * @param tableVersion version of the table from which the router took the allowed regions
   * @param fromFirstAttempt whether the objective counts from the caller's first attempt
   * @param ageMillis time since the caller's first attempt, as far as known; 0 unless the objective
   *     counts from then
   */
  WaitingEntry(
      String router,
      WaitingCall call,
      long tableVersion,
      long sequence,
      boolean fromFirstAttempt,
      long ageMillis,
      long nowNanos) {
    this.tableVersion = tableVersion;
    this.requirements = UpstreamRequirements.of(call.allowedRegions(), call.softwareVersion());
    this.router = router;
    this.call = call;
    this.sequence = sequence;
    this.arrivedNanos = nowNanos;
    this.fromFirstAttempt = fromFirstAttempt;
    this.firstNanos = nowNanos - ageMillis * NANOS_PER_MILLI;
    this.late = ageMillis > 0 && call.objectiveMillis() <= ageMillis;
    this.dueNanos = nowNanos + (call.objectiveMillis() - (late ? 0 : ageMillis)) * NANOS_PER_MILLI;
  }

  String workspace() {
    return call.workspace();
  }

  /** Returns whether it continues a stream that upstreams of its software version have begun. */
  boolean continuesStream() {
    return !call.softwareVersion().isEmpty();
  }

  /** Returns whether its caller was rejected here before and has kept to its retry time. */
  boolean keptRetryTime() {
    return callerReturn == CallerReturn.KEPT;
  }

  /** Returns how long the request has waited at this allocator, in milliseconds. */
  long waitedMillis(long nowNanos) {
    return (nowNanos - arrivedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the time until the response should start, in milliseconds; negative if overdue. */
  long slackMillis(long nowNanos) {
    return (dueNanos - nowNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns the part of the request's own work that counts against its objective, in milliseconds.
   * None does if requests of its size are underserved: then only the wait counts, as the work would
   * exclude the largest requests for good.
   */
  double countedMillis(double ownMillis) {
    return call.underserved() ? 0 : ownMillis;
  }

  /** Returns whether a response that starts after the given time meets the objective. */
  boolean meetsObjective(double expectedMillis, long nowNanos) {
    return Room.isWithin(expectedMillis, dueNanos - nowNanos);
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.process.ServiceSlotsStatus.EstimateStatus;
import dev.agatepier.core.request.UpstreamLoadReport;
import java.util.OptionalLong;

/**
 * What a slot allocator knows of an upstream beyond its own grants: the load from other senders and
 * the pace of its machine, as the upstream stated them, and times and errors that it measured. The
 * weight of a statement falls with its age.
 */
final class UpstreamLoadEstimate {

  /** Time that a request is assumed to take before one has completed, in milliseconds. */
  private static final double INITIAL_REQUEST_MILLIS = 1_000;

  /** Bounds of the measured time, so that the estimate neither jitters nor becomes rigid. */
  private static final double MIN_REQUEST_MILLIS = 250;

  private static final double MAX_REQUEST_MILLIS = 4_000;

  /** Weight of the newest request in the moving averages of measured times. */
  private static final double NEWEST_WEIGHT = 0.1;

  /**
   * Period over which the pace is smoothed, in milliseconds: half of the time for which other
   * programs slow a machine. Over the time of a whole request the choice would avoid engines that
   * have recovered; docs/design/even-load.md has the figures.
   */
  private static final double PACE_MILLIS = 300;

  /** Period of the average pace that an upstream is assumed to return to, in milliseconds. */
  private static final double LASTING_PACE_MILLIS = 30_000;

  private static final double PERCENT = 100;
  private static final double NANOS_PER_MILLI = 1e6;

  private final OwnLoadHistory own = new OwnLoadHistory();
  private final TimedAverage pace = new TimedAverage(PACE_MILLIS, 1);
  private final TimedAverage lastingPace = new TimedAverage(LASTING_PACE_MILLIS, 1);
  private double requestMillis = INITIAL_REQUEST_MILLIS;
  private double slotMillis;
  private long statedNanos = Long.MIN_VALUE / 2;
  private double otherRequests;
  private double otherWaiting;
  private double outputTokenMillis;
  private double runningAtOutput;
  private double errorMillis;
  private double biasMillis;

  /** Records the allocator's own load after it has changed. */
  void recordOwn(int requests, int pending, long nowNanos) {
    own.record(requests, pending, nowNanos);
  }

  /** Records a statement of the upstream; ignores one that is older than the last. */
  void recordStated(ReceivedLoad load, long nowNanos) {
    long nanos = nowNanos - (long) (load.ageMillis() * NANOS_PER_MILLI);
    if (nanos < statedNanos) {
      return;
    }
    UpstreamLoadReport report = load.report();
    OwnLoadHistory.Entry ownThen = own.at(nanos);
    statedNanos = nanos;
    otherRequests = Math.max(0, report.running() + report.waiting() - ownThen.requests());
    otherWaiting = Math.max(0, report.waiting() - ownThen.pending());
    report.pacePercent().ifPresent(percent -> recordPace(percent / PERCENT, nanos));
  }

  /** Records how long a completed request occupied its slot, in milliseconds. */
  void recordRequest(double millis) {
    slotMillis += (slotMillis == 0 ? 1 : NEWEST_WEIGHT) * (millis - slotMillis);
    requestMillis += NEWEST_WEIGHT * (millis - requestMillis);
    requestMillis = Math.clamp(requestMillis, MIN_REQUEST_MILLIS, MAX_REQUEST_MILLIS);
  }

  /**
   * Records the time for each output token of a completed response.
   *
   * @param running requests that ran on the upstream when it ended
   */
  void recordOutput(double tokenMillis, int running) {
    double weight = outputTokenMillis == 0 ? 1 : NEWEST_WEIGHT;
    outputTokenMillis += weight * (tokenMillis - outputTokenMillis);
    runningAtOutput += weight * (running - runningAtOutput);
  }

  /** Records the expected and the observed time from a grant to the start of the response. */
  void recordPrediction(double expectedMillis, double observedMillis) {
    double difference = observedMillis - expectedMillis;
    errorMillis += NEWEST_WEIGHT * (Math.abs(difference) - errorMillis);
    biasMillis += NEWEST_WEIGHT * (difference - biasMillis);
  }

  /**
   * Returns the moving average of the time for which a request occupies a slot, in milliseconds.
   *
   * @param initialMillis the value before a request has completed
   */
  double slotMillis(double initialMillis) {
    return slotMillis == 0 ? initialMillis : slotMillis;
  }

  /** Returns whether the upstream has stated its pace. */
  boolean statesPace() {
    return pace.isMeasured();
  }

  private double ageMillis(long nowNanos) {
    return (nowNanos - statedNanos) / NANOS_PER_MILLI;
  }

  /** Returns the expected number of requests that other senders have at the upstream. */
  double otherRequests(long nowNanos) {
    return otherRequests * freshness(nowNanos - statedNanos, requestMillis);
  }

  /**
   * Returns the time that the requests of other senders which had not started still wait, in
   * milliseconds. A queue is much shorter than a request, so it is regarded as drained with age.
   *
   * @param prefillMillis time that one of them is expected to take
   */
  double otherBacklogMillis(double prefillMillis, long nowNanos) {
    return otherWaiting == 0 ? 0 : Math.max(0, otherWaiting * prefillMillis - ageMillis(nowNanos));
  }

  /**
   * Returns the expected time of work relative to the usual one: the smoothed pace, which with age
   * approaches the average of a longer period.
   */
  double paceFactor(long nowNanos) {
    double lasting = lastingPace.value();
    return lasting
        + (pace.value() - lasting) * freshness(nowNanos - pace.measuredNanos(), PACE_MILLIS);
  }

  /** Returns the pace factor relative to the average over a longer period. */
  double momentaryPaceFactor(long nowNanos) {
    return paceFactor(nowNanos) / lastingPace.value();
  }

  /**
   * Returns how many requests may run so that a response takes at most the given time for a token.
   * The time grows less than in proportion to the requests, so this settles below the limit.
   */
  int runningLimit(double maximumTokenMillis) {
    return outputTokenMillis <= maximumTokenMillis
        ? Integer.MAX_VALUE
        : Math.max(1, (int) (runningAtOutput * maximumTokenMillis / outputTokenMillis));
  }

  /** Returns the average time for each output token, in milliseconds; 0 before a response ended. */
  double outputTokenMillis() {
    return outputTokenMillis;
  }

  /** Returns the status for operators. */
  EstimateStatus status(long nowNanos) {
    boolean stated = statedNanos != Long.MIN_VALUE / 2;
    return new EstimateStatus(
        otherRequests(nowNanos),
        PERCENT * paceFactor(nowNanos),
        stated ? OptionalLong.of((long) ageMillis(nowNanos)) : OptionalLong.empty(),
        errorMillis,
        biasMillis,
        outputTokenMillis);
  }

  private void recordPace(double stated, long nanos) {
    pace.record(stated, nanos);
    lastingPace.record(stated, nanos);
  }

  /** Returns the weight of a statement of the given age, from 0 to 1. */
  private static double freshness(long ageNanos, double periodMillis) {
    return Math.exp(-Math.max(0, ageNanos) / NANOS_PER_MILLI / periodMillis);
  }
}

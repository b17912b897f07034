package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.CallerReturn;
import dev.agatepier.core.process.internal.RejectedCallers.Rejection;
import dev.agatepier.core.request.RequestId;
import java.util.Optional;

/**
 * Promises rejected callers capacity, one after the other, and advises them when to come back. The
 * condition that it responds to: more requests than can be served within their objective.
 *
 * <p>Where a caller can come back early enough to be served within its objective, its work is
 * reserved behind that of the callers promised before it, at the measured rate of grants; new
 * requests are admitted only up to what is left. The others are advised to come back when the
 * shortage is expected to be over, one after the other at the same rate: a shortage that has lasted
 * for some time is expected to last twice as long again.
 */
final class RetryPromises {

  /**
   * Weight of promised work against new requests. With 1, half of the callers that kept to their
   * retry time found the capacity taken; docs/design/admission-under-shortage.md has the figures.
   */
  private static final double PROMISED_WEIGHT = 1.5;

  /** Shortest retry time: a new connection and a report to the allocator fit into it. */
  private static final double MINIMUM_RETURN_MILLIS = 130;

  /** Time left between a promise and the objective, as slots are granted in fair order. */
  private static final double SPARE_MILLIS = 150;

  /** Time without a rejection after which a shortage is over. */
  private static final long QUIET_NANOS = 1_000_000_000L;

  /** Duration of the rest of a shortage, relative to how long it has lasted. */
  private static final double REMAINING_SHARE = 2;

  /** Callers wait for at most this share of the time that they have left. */
  private static final double HONOURED_SHARE = 1.0 / 3;

  /**
   * Least share of the longest retry time for callers that get no earlier one: those that were
   * rejected together must not come back together.
   */
  private static final double MINIMUM_SPREAD = 0.75;

  /** Time by which a caller that keeps to its retry time may be early: clocks and rounding. */
  private static final long EARLY_NANOS = 10_000_000L;

  /** Least work of a request: that of a prompt without tokens. */
  private static final double MINIMUM_WORK_MILLIS = 1;

  private static final double NANOS_PER_MILLI = 1e6;

  private final long minimumMillis;
  private final GrantRate rate;
  private final RejectedCallers callers = new RejectedCallers();
  private long promisedUntilNanos = Long.MIN_VALUE / 2;
  private long advisedUntilNanos = Long.MIN_VALUE / 2;
  private long shortageSinceNanos;
  private long lastRejectedNanos = Long.MIN_VALUE / 2;

  /**
   * Creates the promises of a service without rejections.
   *
   * @param minimumMillis shortest retry time without a promise, in milliseconds
   * @param rate rate at which work is granted
   */
  RetryPromises(long minimumMillis, GrantRate rate) {
    this.minimumMillis = minimumMillis;
    this.rate = rate;
  }

  /** Returns the rejection after which a request that arrives now is a repetition. */
  Optional<Rejection> findRejection(WaitingCall call, long nowNanos) {
    return callers.find(call, nowNanos);
  }

  /** Returns whether a caller that comes back now has kept to its retry time. */
  static CallerReturn judge(Rejection rejection, long nowNanos) {
    return rejection.returnNanos() - nowNanos > EARLY_NANOS
        ? CallerReturn.EARLY
        : CallerReturn.KEPT;
  }

  /** Returns whether any promised time is still to come. */
  boolean outstanding(long nowNanos) {
    return promisedUntilNanos > nowNanos;
  }

  /**
   * Returns by how much the capacity that is promised until a time lengthens the wait of a new
   * request, in milliseconds.
   */
  double reservedMillis(long untilNanos, long nowNanos) {
    long promisedNanos = Math.min(untilNanos, promisedUntilNanos) - nowNanos;
    return PROMISED_WEIGHT * Math.max(0, promisedNanos) / NANOS_PER_MILLI;
  }

  /**
   * Records a rejection and returns when its caller should come back, in milliseconds.
   *
   * @param inTimeMillis time within which the request has to start to be in time
   */
  long reject(WaitingEntry entry, double inTimeMillis, long nowNanos) {
    recordShortage(nowNanos);
    double longestMillis = longestMillis(entry);
    double returnMillis =
        Math.max(MINIMUM_RETURN_MILLIS, (promisedUntilNanos - nowNanos) / NANOS_PER_MILLI);
    double endMillis = returnMillis + neededMillis(entry, nowNanos);
    if (RejectedCallers.recognisable(entry.call)
        && endMillis <= Math.min(inTimeMillis - SPARE_MILLIS, longestMillis)) {
      promisedUntilNanos = nowNanos + (long) (endMillis * NANOS_PER_MILLI);
    } else {
      returnMillis = afterShortageMillis(entry, nowNanos);
    }
    callers.record(entry, nowNanos + (long) (returnMillis * NANOS_PER_MILLI), nowNanos);
    return Math.round(returnMillis);
  }

  /**
   * Returns when the caller of a request should come back that another allocator is asked for next.
   * That one promises it capacity, or this time is passed on to the caller.
   */
  long advise(WaitingEntry entry, long nowNanos) {
    recordShortage(nowNanos);
    return Math.round(afterShortageMillis(entry, nowNanos));
  }

  private void recordShortage(long nowNanos) {
    if (nowNanos - lastRejectedNanos > QUIET_NANOS) {
      shortageSinceNanos = nowNanos;
    }
    lastRejectedNanos = nowNanos;
  }

  private double afterShortageMillis(WaitingEntry entry, long nowNanos) {
    double lastedMillis = (nowNanos - shortageSinceNanos) / NANOS_PER_MILLI;
    double expectedMillis = Math.max(minimumMillis, REMAINING_SHARE * lastedMillis);
    double returnMillis =
        Math.max(expectedMillis, (advisedUntilNanos - nowNanos) / NANOS_PER_MILLI);
    double endMillis = returnMillis + neededMillis(entry, nowNanos);
    if (endMillis > longestMillis(entry)) {
      return longestMillis(entry)
          * (MINIMUM_SPREAD + (1 - MINIMUM_SPREAD) * spread(entry.call.request()));
    }
    advisedUntilNanos = nowNanos + (long) (endMillis * NANOS_PER_MILLI);
    return returnMillis;
  }

  /** Returns a number from 0 to 1 that differs from request to request. */
  private static double spread(RequestId request) {
    return (RendezvousHash.mix(request.number() ^ request.incarnation()) >>> 1)
        / (double) Long.MAX_VALUE;
  }

  private double neededMillis(WaitingEntry entry, long nowNanos) {
    return Math.max(MINIMUM_WORK_MILLIS, entry.workMillis) / rate.workPerMilli(nowNanos);
  }

  private static double longestMillis(WaitingEntry entry) {
    return HONOURED_SHARE * Math.max(0, entry.call.timeLeftMillis());
  }
}

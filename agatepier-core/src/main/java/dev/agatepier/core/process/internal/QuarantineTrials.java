package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.request.Fingerprint;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Says when a request with a quarantined fingerprint may run on trial: one that completes shows
 * that the fingerprint is sound. Routers tell each other of their trials, so that one runs at a
 * time.
 */
final class QuarantineTrials {

  /**
   * Time after the last crash until a fingerprint is tried whose crashes another one explains:
   * requests that were sent before it was quarantined have ended by then.
   */
  private static final long EXPLAINED_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Time after the last crash until any other fingerprint is tried; each crash doubles it. */
  private static final long DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Trials that may crash upstreams, after which the fingerprint stays quarantined. */
  private static final int MAXIMUM_CRASHED = 3;

  /** Time after the start of a trial in which no other one starts. */
  private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Maximum number of fingerprints with trials. */
  private static final int CAPACITY = 1_024;

  private final Map<Fingerprint, Trials> trials = new LeastRecentlyUsedMap<>(CAPACITY);

  /**
   * The trials of a fingerprint.
   *
   * @param startedNanos when the last one was started
   * @param open whether no crash has followed it
   * @param crashed number of trials that a crash has followed
   */
  private record Trials(long startedNanos, boolean open, int crashed) {}

  /** Records that a trial of fingerprints was started, here or by another router. */
  void onStarted(List<Fingerprint> fingerprints, long nowNanos) {
    for (Fingerprint fingerprint : fingerprints) {
      trials.put(fingerprint, new Trials(nowNanos, true, crashed(fingerprint)));
    }
  }

  /** Records a crash that counts against a fingerprint. */
  void onCrash(Fingerprint fingerprint) {
    trials.computeIfPresent(
        fingerprint,
        (_, last) ->
            last.open() ? new Trials(last.startedNanos(), false, last.crashed() + 1) : last);
  }

  /** Forgets the trials of a fingerprint that is sound. */
  void onCleared(Fingerprint fingerprint) {
    trials.remove(fingerprint);
  }

  /**
   * Returns the time until a fingerprint may be tried; {@link Long#MAX_VALUE} if it may not.
   *
   * @param explained whether another fingerprint explains its crashes
   */
  long nanosUntilTrial(
      Fingerprint fingerprint, boolean explained, long lastCrashNanos, long nowNanos) {
    int crashed = crashed(fingerprint);
    if (crashed >= MAXIMUM_CRASHED) {
      return Long.MAX_VALUE;
    }
    long delayNanos = explained && crashed == 0 ? EXPLAINED_DELAY_NANOS : DELAY_NANOS << crashed;
    long nanos = Math.max(0, lastCrashNanos + delayNanos - nowNanos);
    Trials last = trials.get(fingerprint);
    return last == null ? nanos : Math.max(nanos, last.startedNanos() + RUN_NANOS - nowNanos);
  }

  private int crashed(Fingerprint fingerprint) {
    Trials last = trials.get(fingerprint);
    return last == null ? 0 : last.crashed();
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.PlatformSubject;
import dev.agatepier.core.process.VersionEffect;
import dev.agatepier.core.process.VersionPolicy;
import java.util.concurrent.TimeUnit;

/** When one subject of the platform may be read next: one read at a time, jittered back-off. */
public final class ReadSchedule {

  /** Least time between two reads that both gave something, in milliseconds. */
  private static final long SPACING_MILLIS = 100;

  /** Time after the end of its wait at which a read without answer is given up, in seconds. */
  private static final int LOST_SECONDS = 10;

  private final VersionPolicy policy;
  private boolean started;
  private boolean inFlight;
  private int failures;
  private long notBeforeNanos;
  private long lostAtNanos;

  /** Creates the schedule. */
  public ReadSchedule(VersionPolicy policy) {
    this.policy = policy;
  }

  /** Returns whether a read may begin; the first call spreads the first read. */
  public boolean due(double jitter, long nowNanos) {
    if (!started) {
      started = true;
      delay((long) (policy.startSpreadMillis() * jitter), nowNanos);
    }
    if (inFlight) {
      return nowNanos - lostAtNanos >= 0;
    }
    return nowNanos - notBeforeNanos >= 0;
  }

  /**
   * Begins a read.
   *
   * @param subject what to read
   * @param known version above which there is something to read; 0 for none
   * @param watch whether to wait for such a version; without a known one there is nothing to watch
   */
  public VersionEffect.ReadPlatform read(
      PlatformSubject subject, long known, boolean watch, long nowNanos) {
    int waitSeconds = watch && known > 0 ? policy.watchSeconds() : 0;
    begin(waitSeconds, nowNanos);
    return new VersionEffect.ReadPlatform(subject, known, waitSeconds);
  }

  /** Notes that a read began, which may hold a watch for some time. */
  void begin(int waitSeconds, long nowNanos) {
    inFlight = true;
    lostAtNanos = nowNanos + TimeUnit.SECONDS.toNanos(waitSeconds + LOST_SECONDS);
  }

  /** Notes that a read gave an answer; the back-off stays until {@link #reset}. */
  public void recordSuccess(long nowNanos) {
    inFlight = false;
    delay(SPACING_MILLIS, nowNanos);
  }

  /** Ends the back-off. */
  public void resetBackoff() {
    failures = 0;
  }

  /** Notes that the platform answers other reads: what waits out a failure is read at once. */
  public void recordPlatformReachable(long nowNanos) {
    if (!inFlight && failures > 0) {
      notBeforeNanos = nowNanos;
    }
  }

  /** Notes that a read failed or gave something useless. */
  public void recordFailure(double jitter, long nowNanos) {
    inFlight = false;
    long doubled = policy.firstRetryMillis() << Math.min(failures, 20);
    long ceiling = Math.min(doubled, policy.lastRetryMillis());
    failures++;
    delay((long) (ceiling * (1 + jitter) / 2), nowNanos);
  }

  private void delay(long millis, long nowNanos) {
    notBeforeNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }
}

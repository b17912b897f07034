package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.PlatformSubject;
import dev.agatepier.core.process.VersionEffect;
import dev.agatepier.core.process.VersionPolicy;
import java.util.concurrent.TimeUnit;

/**
 * Schedules the reads of one subject of the platform: one read at a time, with exponential backoff
 * and jitter after failures.
 */
public final class ReadSchedule {

  /** Minimum time between a successful read and the next one, in milliseconds. */
  private static final long MINIMUM_INTERVAL_MILLIS = 100;

  /** Time after the end of its watch at which a read without a response is given up, in seconds. */
  private static final int RESPONSE_TIMEOUT_SECONDS = 10;

  private final VersionPolicy policy;
  private boolean started;
  private boolean inFlight;
  private int failures;
  private long notBeforeNanos;
  private long timeoutAtNanos;

  /** Creates a schedule without a read in flight. */
  public ReadSchedule(VersionPolicy policy) {
    this.policy = policy;
  }

  /**
   * Returns whether a read may start. The first call delays the first read by a random part of the
   * configured spread.
   *
   * @param jitter random number from 0 to 1
   */
  public boolean due(double jitter, long nowNanos) {
    if (!started) {
      started = true;
      delay((long) (policy.startSpreadMillis() * jitter), nowNanos);
    }
    if (inFlight) {
      return nowNanos - timeoutAtNanos >= 0;
    }
    return nowNanos - notBeforeNanos >= 0;
  }

  /**
   * Starts a read and returns its effect.
   *
   * @param subject what to read
   * @param known version that is known already; only a higher one is read; 0 for none
   * @param watch whether to wait for a higher version; ignored if no version is known
   */
  public VersionEffect.ReadPlatform read(
      PlatformSubject subject, long known, boolean watch, long nowNanos) {
    int waitSeconds = watch && known > 0 ? policy.watchSeconds() : 0;
    begin(waitSeconds, nowNanos);
    return new VersionEffect.ReadPlatform(subject, known, waitSeconds);
  }

  /**
   * Records the start of a read.
   *
   * @param waitSeconds how long the platform may hold the read open as a watch, in seconds
   */
  void begin(int waitSeconds, long nowNanos) {
    inFlight = true;
    timeoutAtNanos = nowNanos + TimeUnit.SECONDS.toNanos(waitSeconds + RESPONSE_TIMEOUT_SECONDS);
  }

  /** Records a successful read; the backoff is kept until {@link #resetBackoff}. */
  public void recordSuccess(long nowNanos) {
    inFlight = false;
    delay(MINIMUM_INTERVAL_MILLIS, nowNanos);
  }

  /** Resets the backoff to its first delay. */
  public void resetBackoff() {
    failures = 0;
  }

  /** Records that another read has succeeded: a read delayed by backoff becomes due immediately. */
  public void recordPlatformReachable(long nowNanos) {
    if (!inFlight && failures > 0) {
      notBeforeNanos = nowNanos;
    }
  }

  /** Records that a read failed or returned nothing usable, and delays the next one. */
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

package dev.agatepier.core.process.internal;

import java.util.concurrent.TimeUnit;

/**
 * Lets one read run at a time, and not more often than needed. A read that is requested meanwhile
 * starts later, since the result of the running one may be older than the request; it serves all
 * requests until then.
 */
public final class CoalescedRead {

  /** Minimum time between the starts of two reads, as each call of the platform has a price. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private boolean started;
  private boolean running;
  private boolean requested;
  private long startedNanos;

  /** Requests a read; returns whether it starts now. */
  public boolean request(long nowNanos) {
    requested = true;
    return startIfDue(nowNanos);
  }

  /** Returns whether a requested read starts now. */
  public boolean startIfDue(long nowNanos) {
    boolean due = !started || nowNanos - startedNanos >= INTERVAL_NANOS;
    if (!requested || running || !due) {
      return false;
    }
    started = true;
    running = true;
    requested = false;
    startedNanos = nowNanos;
    return true;
  }

  /** Records the end of the running read. */
  public void complete() {
    running = false;
  }
}

package dev.agatepier.core.process.internal;

/**
 * Decides when a process that has just started, and stores no table, may activate its first one: an
 * old version must not become active while a peer or the platform has a newer one.
 */
public final class ColdStart {

  private final long maxWaitNanos;
  private boolean started;
  private long deadlineNanos;
  private boolean platformResponded;
  private boolean peerReported;
  private long highestPeerVersion;

  /**
   * Creates the state of a process whose wait has not started.
   *
   * @param maxWaitNanos how long to wait until both a peer and the platform have responded, in
   *     nanoseconds
   */
  public ColdStart(long maxWaitNanos) {
    this.maxWaitNanos = maxWaitNanos;
  }

  /** Starts the wait; later calls have no effect. */
  public void begin(long nowNanos) {
    if (!started) {
      started = true;
      deadlineNanos = nowNanos + maxWaitNanos;
    }
  }

  /** Records that the platform has responded. */
  public void recordPlatformResponse() {
    platformResponded = true;
  }

  /** Records the active version of a peer; a peer without a table (version 0) does not count. */
  public void recordPeerVersion(long version) {
    peerReported |= version > 0;
    highestPeerVersion = Math.max(highestPeerVersion, version);
  }

  /** Returns whether the maximum wait has elapsed since the start. */
  public boolean elapsed(long nowNanos) {
    return started && nowNanos - deadlineNanos >= 0;
  }

  /**
   * Returns whether a process without a table reads the platform itself, though others watch it.
   */
  public boolean shouldReadPlatform(long nowNanos) {
    return !platformResponded || overdue(nowNanos);
  }

  /** Returns whether twice the maximum wait has elapsed, so that peers are no longer relied on. */
  public boolean overdue(long nowNanos) {
    return started && nowNanos - deadlineNanos >= maxWaitNanos;
  }

  /**
   * Returns whether a version may be activated: the wait has elapsed, or the platform and a peer
   * have responded and no peer has a newer version.
   */
  public boolean mayActivate(long version, long nowNanos) {
    return elapsed(nowNanos)
        || (platformResponded && peerReported && version >= highestPeerVersion);
  }
}

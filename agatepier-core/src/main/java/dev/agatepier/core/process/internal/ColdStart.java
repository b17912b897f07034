package dev.agatepier.core.process.internal;

/** Decides when a process without memory may trust the first table that it has. */
public final class ColdStart {

  private final long longestNanos;
  private boolean begun;
  private long deadlineNanos;
  private boolean platformHeard;
  private boolean peerHeard;
  private long highestOffered;

  /**
   * Creates the state.
   *
   * @param longestNanos how long to wait for both a peer and the platform, in nanoseconds
   */
  public ColdStart(long longestNanos) {
    this.longestNanos = longestNanos;
  }

  /** Begins the wait, once. */
  public void begin(long nowNanos) {
    if (!begun) {
      begun = true;
      deadlineNanos = nowNanos + longestNanos;
    }
  }

  /** Notes that the platform answered. */
  public void recordPlatformResponse() {
    platformHeard = true;
  }

  /** Notes the version that a peer has in force; a peer without memory does not count. */
  public void recordPeerVersion(long version) {
    peerHeard |= version > 0;
    highestOffered = Math.max(highestOffered, version);
  }

  /** Returns whether the wait is over. */
  public boolean elapsed(long nowNanos) {
    return begun && nowNanos - deadlineNanos >= 0;
  }

  /** Returns whether a process without table reads the platform although others watch it. */
  public boolean shouldReadPlatform(long nowNanos) {
    return !platformHeard || overdue(nowNanos);
  }

  /** Returns whether the wait passed twice over and no peer offered a table. */
  public boolean overdue(long nowNanos) {
    return begun && nowNanos - deadlineNanos >= longestNanos;
  }

  /** Returns whether a version may be put in force. */
  public boolean mayActivate(long version, long nowNanos) {
    return elapsed(nowNanos) || (platformHeard && peerHeard && version >= highestOffered);
  }
}

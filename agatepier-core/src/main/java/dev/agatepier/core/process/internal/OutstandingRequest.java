package dev.agatepier.core.process.internal;

/** A question to a peer that is not asked again before it was answered or timed out. */
public final class OutstandingRequest {

  private final long timeoutNanos;
  private boolean open;
  private long askedNanos;

  /**
   * Creates the question.
   *
   * @param timeoutNanos how long an answer may take, in nanoseconds
   */
  public OutstandingRequest(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /** Returns whether it may be asked now, and if so notes that it is. */
  public boolean trySend(long nowNanos) {
    if (open && nowNanos - askedNanos < timeoutNanos) {
      return false;
    }
    open = true;
    askedNanos = nowNanos;
    return true;
  }

  /** Notes an answer. */
  public void complete() {
    open = false;
  }
}

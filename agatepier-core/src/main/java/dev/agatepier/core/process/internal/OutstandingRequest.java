package dev.agatepier.core.process.internal;

/** Guard that allows one outstanding request to peers at a time, until its reply or timeout. */
public final class OutstandingRequest {

  private final long timeoutNanos;
  private boolean outstanding;
  private long sentNanos;

  /**
   * Creates a guard without an outstanding request.
   *
   * @param timeoutNanos how long a reply may take, in nanoseconds
   */
  public OutstandingRequest(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /** Returns whether a request may be sent now; if so, records it as outstanding. */
  public boolean trySend(long nowNanos) {
    if (outstanding && nowNanos - sentNanos < timeoutNanos) {
      return false;
    }
    outstanding = true;
    sentNanos = nowNanos;
    return true;
  }

  /** Records that the reply has been received. */
  public void complete() {
    outstanding = false;
  }
}

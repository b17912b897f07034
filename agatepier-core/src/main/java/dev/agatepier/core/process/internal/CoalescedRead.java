package dev.agatepier.core.process.internal;

/**
 * Lets one read run at a time. A read that is requested meanwhile starts after it, since the result
 * of the running one may be older than the request; it serves all requests until then.
 */
public final class CoalescedRead {

  private boolean running;
  private boolean requestedAgain;

  /** Requests a read; returns whether it starts now. */
  public boolean request() {
    if (running) {
      requestedAgain = true;
      return false;
    }
    running = true;
    return true;
  }

  /** Records the end of the running read; returns whether the next one starts now. */
  public boolean complete() {
    running = requestedAgain;
    requestedAgain = false;
    return running;
  }
}

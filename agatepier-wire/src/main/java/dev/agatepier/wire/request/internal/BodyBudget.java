package dev.agatepier.wire.request.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of request bodies that a process holds at one time. */
public final class BodyBudget {

  private final long maximumBytes;
  private final AtomicLong held = new AtomicLong();

  /** Creates a budget of which nothing is used. */
  public BodyBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Takes bytes, or returns false if they are not there. */
  boolean take(long bytes) {
    if (held.addAndGet(bytes) > maximumBytes) {
      held.addAndGet(-bytes);
      return false;
    }
    return true;
  }

  /** Gives bytes back. */
  void release(long bytes) {
    held.addAndGet(-bytes);
  }

  /** Returns the bytes in use. */
  public long heldBytes() {
    return held.get();
  }
}

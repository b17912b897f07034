package dev.agatepier.wire.request.internal;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of request bodies that a process holds at one time. One workspace may hold only
 * a part of them, so that its bodies keep no other workspace's out.
 */
public final class BodyBudget {

  /** Part of all bytes that one workspace may hold, if a body fits into it. */
  private static final int WORKSPACE_DIVISOR = 4;

  private final long maximumBytes;
  private final long workspaceBytes;
  private final AtomicLong held = new AtomicLong();
  private final Map<String, Long> heldByWorkspace = new ConcurrentHashMap<>();

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maximumBytes most bytes of all bodies
   * @param bodyBytes most bytes of one body
   */
  public BodyBudget(long maximumBytes, long bodyBytes) {
    this.maximumBytes = maximumBytes;
    this.workspaceBytes = Math.max(bodyBytes, maximumBytes / WORKSPACE_DIVISOR);
  }

  /** Takes bytes for a workspace, or returns false if they are not there. */
  boolean tryReserve(String workspace, long bytes) {
    long ofWorkspace = heldByWorkspace.merge(workspace, bytes, Long::sum);
    long ofAll = held.addAndGet(bytes);
    if (ofAll > maximumBytes || ofWorkspace > workspaceBytes) {
      release(workspace, bytes);
      return false;
    }
    return true;
  }

  /** Gives bytes of a workspace back. */
  void release(String workspace, long bytes) {
    held.addAndGet(-bytes);
    heldByWorkspace.computeIfPresent(
        workspace, (name, before) -> before == bytes ? null : before - bytes);
  }

  /** Returns the bytes in use. */
  public long heldBytes() {
    return held.get();
  }
}

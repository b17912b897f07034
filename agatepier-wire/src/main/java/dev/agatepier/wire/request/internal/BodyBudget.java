package dev.agatepier.wire.request.internal;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes of request bodies that a process buffers at any time. One workspace may use only
 * a fraction of them, so that it cannot exhaust the budget for other workspaces.
 */
public final class BodyBudget {

  /**
   * Divisor of the total budget that gives the share of one workspace; the share is raised to the
   * maximum size of one body if that is larger.
   */
  private static final int WORKSPACE_DIVISOR = 4;

  private final long maximumBytes;
  private final long maximumWorkspaceBytes;
  private final AtomicLong totalBytes = new AtomicLong();
  private final Map<String, Long> bytesByWorkspace = new ConcurrentHashMap<>();

  /**
   * Creates a budget with nothing reserved.
   *
   * @param maximumBytes maximum bytes of all bodies together
   * @param bodyBytes maximum bytes of one body
   */
  public BodyBudget(long maximumBytes, long bodyBytes) {
    this.maximumBytes = maximumBytes;
    this.maximumWorkspaceBytes = Math.max(bodyBytes, maximumBytes / WORKSPACE_DIVISOR);
  }

  /** Reserves bytes for a workspace; returns false and reserves nothing if they exceed a bound. */
  boolean tryReserve(String workspace, long bytes) {
    long workspaceTotal = bytesByWorkspace.merge(workspace, bytes, Long::sum);
    long total = totalBytes.addAndGet(bytes);
    if (total > maximumBytes || workspaceTotal > maximumWorkspaceBytes) {
      release(workspace, bytes);
      return false;
    }
    return true;
  }

  /** Releases bytes that were reserved for a workspace. */
  void release(String workspace, long bytes) {
    totalBytes.addAndGet(-bytes);
    bytesByWorkspace.computeIfPresent(
        workspace, (name, before) -> before == bytes ? null : before - bytes);
  }

  /** Returns the reserved bytes of all workspaces. */
  public long heldBytes() {
    return totalBytes.get();
  }
}

package dev.agatepier.core.process.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All queues, and the usage of all workspaces. A queue that stays empty is dropped. */
final class WorkspaceQueues {

  /** Time after which an empty queue and its observed averages are dropped. */
  private static final long IDLE_NANOS = 60_000_000_000L;

  private final long spillNanos;
  private final Map<String, WorkspaceUsage> uses = new HashMap<>();
  private final Map<String, Map<String, WaitingQueue>> byService = new HashMap<>();
  private final Map<String, List<WaitingQueue>> byWorkspace = new HashMap<>();
  private long queueCount;
  private final Map<WaitingQueue, Long> touched = new LinkedHashMap<>();

  WorkspaceQueues(long spillNanos) {
    this.spillNanos = spillNanos;
  }

  /** Returns the usage of a workspace; a new one if none is recorded. */
  WorkspaceUsage use(String workspace) {
    WorkspaceUsage use = uses.get(workspace);
    return use == null ? new WorkspaceUsage(workspace) : use;
  }

  WaitingQueue find(String service, String workspace) {
    return byService.getOrDefault(service, Map.of()).get(workspace);
  }

  WaitingQueue findOrAdd(String service, String workspace, long nowNanos) {
    WaitingQueue found = find(service, workspace);
    if (found != null) {
      return found;
    }
    WorkspaceUsage use = uses.computeIfAbsent(workspace, WorkspaceUsage::new);
    WaitingQueue queue = new WaitingQueue(++queueCount, service, use, spillNanos);
    byService.computeIfAbsent(service, name -> new LinkedHashMap<>()).put(workspace, queue);
    byWorkspace.computeIfAbsent(workspace, name -> new ArrayList<>()).add(queue);
    touch(queue, nowNanos);
    return queue;
  }

  Collection<WaitingQueue> ofService(String service) {
    return byService.getOrDefault(service, Map.of()).values();
  }

  List<WaitingQueue> ofWorkspace(String workspace) {
    return byWorkspace.getOrDefault(workspace, List.of());
  }

  List<WaitingQueue> all() {
    return byService.values().stream().flatMap(queues -> queues.values().stream()).toList();
  }

  /** Records that a queue was used. */
  void touch(WaitingQueue queue, long nowNanos) {
    touched.remove(queue);
    touched.put(queue, nowNanos);
  }

  /** Drops queues that have been empty for longer than the idle time. */
  void expire(RouterState state, long nowNanos) {
    while (!touched.isEmpty()) {
      Map.Entry<WaitingQueue, Long> oldest = touched.entrySet().iterator().next();
      if (nowNanos - oldest.getValue() < IDLE_NANOS) {
        return;
      }
      WaitingQueue queue = oldest.getKey();
      touched.remove(queue);
      if (queue.use.idle(state.limits(queue.use.workspace), nowNanos)) {
        drop(queue);
      } else {
        touched.put(queue, nowNanos);
      }
    }
  }

  private void drop(WaitingQueue queue) {
    String workspace = queue.use.workspace;
    Map<String, WaitingQueue> sameService = byService.get(queue.service);
    sameService.remove(workspace);
    if (sameService.isEmpty()) {
      byService.remove(queue.service);
    }
    List<WaitingQueue> sameWorkspace = byWorkspace.get(workspace);
    sameWorkspace.remove(queue);
    if (sameWorkspace.isEmpty()) {
      byWorkspace.remove(workspace);
      uses.remove(workspace);
    }
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.process.internal.WaitingQueue.SentDemand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Sends changes of demand to sidecars: urgent ones immediately, the others in rounds. */
public final class DemandPublisher {

  /** Minimum time between two rounds of changes that are not urgent. */
  private static final long ROUND_NANOS = 50_000_000;

  private final RouterState state;
  private final Set<WaitingQueue> changed = new LinkedHashSet<>();
  private final Set<WaitingQueue> urgent = new LinkedHashSet<>();
  private final Set<WaitingQueue> waiting = new LinkedHashSet<>();
  private final TreeSet<WaitingQueue> byWake =
      new TreeSet<>(
          Comparator.<WaitingQueue>comparingLong(queue -> queue.wakeNanos)
              .thenComparingLong(queue -> queue.number));
  private boolean roundSent;
  private long lastRoundNanos;

  /** Creates a publisher that has sent no demand yet. */
  public DemandPublisher(RouterState state) {
    this.state = state;
  }

  /**
   * Records that the length of a queue changed; urgent if the queue has become empty or non-empty.
   */
  void onQueueChanged(WaitingQueue queue) {
    if (queue.size() > 0) {
      waiting.add(queue);
    } else {
      waiting.remove(queue);
    }
    scheduleWake(queue);
    if (queue.advertised == queue.size() > 0) {
      changed.add(queue);
    } else {
      urgent.add(queue);
    }
  }

  /** Records that the number of running requests changed; urgent if it is at the limit. */
  void onRunningChanged(String workspace, boolean atLimit) {
    for (WaitingQueue queue : state.queues.ofWorkspace(workspace)) {
      if (queue.size() > 0) {
        (atLimit ? urgent : changed).add(queue);
      }
    }
  }

  /** Records that the set of sidecars of a service changed. */
  void onSidecarsChanged(String service) {
    for (WaitingQueue queue : state.queues.ofService(service)) {
      if (queue.size() > 0 || !queue.sentDemand.isEmpty()) {
        urgent.add(queue);
      }
    }
  }

  /** Handles free slots at a sidecar that knows of no demand. */
  public void onSlotsFree(ConnectedSidecar sidecar) {
    for (WaitingQueue queue : waiting) {
      if (queue.service.equals(sidecar.peer.service())
          && queue.demand(sidecar.name(), state.sidecars.sameRegion(sidecar)) > 0) {
        markStale(queue, sidecar);
        urgent.add(queue);
      }
    }
  }

  /** Marks the demand sent to a sidecar as stale, since the sidecar may have changed its copy. */
  void markStale(WaitingQueue queue, ConnectedSidecar sidecar) {
    queue.sentDemand.put(sidecar.name(), new SentDemand(SentDemand.STALE, 0));
    changed.add(queue);
  }

  /** Returns whether no change of demand is waiting to be sent. */
  public boolean allSent() {
    return changed.isEmpty() && urgent.isEmpty();
  }

  /** Sends the urgent changes, and the others if a round is due. */
  public void publish(long nowNanos) {
    Map<String, List<WorkspaceDemand>> updates = new TreeMap<>();
    urgent.forEach(queue -> collect(queue, updates, nowNanos));
    changed.removeAll(urgent);
    urgent.clear();
    if (roundDue(nowNanos)) {
      roundSent = true;
      lastRoundNanos = nowNanos;
      advance(nowNanos);
      changed.forEach(queue -> collect(queue, updates, nowNanos));
      changed.clear();
    }
    updates.forEach((name, changes) -> state.outbox.send(name, new DemandUpdate(changes)));
  }

  /** Ends holds and spills demand to other regions when their times are reached. */
  private void advance(long nowNanos) {
    while (!byWake.isEmpty() && byWake.first().wakeNanos <= nowNanos) {
      WaitingQueue queue = byWake.first();
      queue.advance(nowNanos);
      changed.add(queue);
      scheduleWake(queue);
    }
  }

  private void scheduleWake(WaitingQueue queue) {
    byWake.remove(queue);
    queue.wakeNanos = queue.nextWakeNanos();
    if (queue.wakeNanos != Long.MAX_VALUE) {
      byWake.add(queue);
    }
  }

  private boolean roundDue(long nowNanos) {
    return !roundSent || nowNanos - lastRoundNanos >= ROUND_NANOS;
  }

  private void collect(
      WaitingQueue queue, Map<String, List<WorkspaceDemand>> updates, long nowNanos) {
    queue.advertised = queue.size() > 0;
    RoutedRequest oldest = queue.oldest();
    for (String name : recipients(queue)) {
      WorkspaceDemand demand = demandUpdate(queue, name, oldest, nowNanos);
      if (demand != null) {
        updates.computeIfAbsent(name, key -> new ArrayList<>()).add(demand);
      }
    }
  }

  private Set<String> recipients(WaitingQueue queue) {
    Set<String> names = new LinkedHashSet<>();
    state.sidecars.demandTargets(queue.service).forEach(sidecar -> names.add(sidecar.name()));
    queue.preferredSidecars().forEach(names::add);
    names.addAll(queue.sentDemand.keySet());
    return names;
  }

  /** Returns the demand to send to a sidecar, or null if the demand last sent is still right. */
  private WorkspaceDemand demandUpdate(
      WaitingQueue queue, String name, RoutedRequest oldest, long nowNanos) {
    ConnectedSidecar sidecar = state.sidecars.named(name);
    SentDemand previous = queue.sentDemand.getOrDefault(name, new SentDemand(0, 0));
    if (sidecar == null) {
      queue.sentDemand.remove(name);
      return null;
    }
    int waiting = sidecar.acceptsWork() ? waiting(queue, sidecar) : 0;
    SentDemand current = new SentDemand(waiting, waiting == 0 ? 0 : oldest.sequence);
    if (waiting == 0) {
      queue.sentDemand.remove(name);
    } else {
      queue.sentDemand.put(name, current);
    }
    return current.equals(previous)
        ? null
        : new WorkspaceDemand(
            queue.use.workspace,
            waiting,
            waiting == 0 ? 0 : (nowNanos - oldest.arrivedNanos) / RouterState.NANOS_PER_MILLI,
            queue.estimatedCost());
  }

  private int waiting(WaitingQueue queue, ConnectedSidecar sidecar) {
    int remaining = state.limits(queue.use.workspace).running() - queue.use.running;
    int demand = queue.demand(sidecar.name(), state.sidecars.sameRegion(sidecar));
    return Math.max(0, Math.min(remaining, demand));
  }
}

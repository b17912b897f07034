package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Demand by router and workspace. Outstanding grants are subtracted from the demand last reported.
 */
public final class DemandIndex {

  /** Time for which a router's demand is skipped after the router declined a grant for it. */
  private static final long DECLINE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private record Key(String router, String workspace) {}

  private static final class Entry {
    final Key key;
    int reported;
    int granted;
    long sinceNanos;
    boolean paused;
    long pausedUntilNanos;

    Entry(Key key) {
      this.key = key;
    }

    int open() {
      return paused ? 0 : Math.max(0, reported - granted);
    }
  }

  private static final class Queue {
    final TreeSet<Entry> open =
        new TreeSet<>(
            Comparator.<Entry>comparingLong(entry -> entry.sinceNanos)
                .thenComparing(entry -> entry.key.router()));
    int count;
  }

  private final WorkspaceLedger ledger;
  private final Map<String, Map<String, Entry>> byRouter = new HashMap<>();
  private final Map<String, Queue> byWorkspace = new HashMap<>();
  private final Set<Entry> paused = new HashSet<>();

  /** Creates an empty index that keeps the demand of the ledger's accounts up to date. */
  public DemandIndex(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  /** Replaces a router's demand for one workspace, and ends its pause. */
  public void update(String router, WorkspaceDemand demand, long nowNanos) {
    Entry entry = entry(router, demand.workspace());
    change(
        entry,
        () -> {
          entry.reported = demand.waiting();
          entry.sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(demand.oldestWaitMillis());
          entry.paused = false;
        });
    paused.remove(entry);
    if (entry.reported <= 0 && entry.granted <= 0) {
      byRouter.get(router).remove(demand.workspace());
    }
  }

  /** Removes all demand of a router. */
  public void removeRouter(String router) {
    Map<String, Entry> entries = byRouter.remove(router);
    if (entries != null) {
      for (Entry entry : entries.values()) {
        boolean hadDemand = entry.reported > 0;
        change(entry, () -> entry.reported = 0);
        if (hadDemand) {
          ledger.markDemandLost(entry.key.workspace());
        }
        paused.remove(entry);
      }
    }
  }

  /**
   * Returns the router whose request of a workspace has waited longest; empty if there is no
   * demand.
   */
  public Optional<String> oldestRouter(String workspace) {
    Queue queue = byWorkspace.get(workspace);
    return queue == null || queue.open.isEmpty()
        ? Optional.empty()
        : Optional.of(queue.open.first().key.router());
  }

  /** Counts a grant that was issued to a router for a workspace. */
  public void recordGrant(String router, String workspace) {
    Entry entry = entry(router, workspace);
    change(entry, () -> entry.granted++);
  }

  /**
   * Records that a grant was answered or revoked.
   *
   * @param declined whether the router had no request for it; its demand is then skipped for a
   *     while
   */
  public void recordGrantEnd(String router, String workspace, boolean declined, long nowNanos) {
    Entry entry = byRouter.getOrDefault(router, Map.of()).get(workspace);
    if (entry == null || entry.granted == 0) {
      return;
    }
    change(
        entry,
        () -> {
          entry.granted--;
          entry.paused |= declined;
          entry.pausedUntilNanos = nowNanos + DECLINE_PAUSE_NANOS;
        });
    if (entry.paused) {
      paused.add(entry);
    }
  }

  /** Ends the pauses that have lasted long enough. */
  public void resumePaused(long nowNanos) {
    Set<Entry> due = new HashSet<>(paused);
    due.removeIf(entry -> entry.pausedUntilNanos - nowNanos > 0);
    for (Entry entry : due) {
      paused.remove(entry);
      change(entry, () -> entry.paused = false);
    }
  }

  private Entry entry(String router, String workspace) {
    return byRouter
        .computeIfAbsent(router, name -> new HashMap<>())
        .computeIfAbsent(workspace, name -> new Entry(new Key(router, name)));
  }

  private void change(Entry entry, Runnable change) {
    String workspace = entry.key.workspace();
    Queue queue = byWorkspace.computeIfAbsent(workspace, name -> new Queue());
    queue.open.remove(entry);
    queue.count -= entry.open();
    change.run();
    queue.count += entry.open();
    if (entry.open() > 0) {
      queue.open.add(entry);
    }
    long oldest = queue.open.isEmpty() ? 0 : queue.open.first().sinceNanos;
    ledger.setDemand(workspace, queue.count, oldest);
    if (queue.count == 0) {
      byWorkspace.remove(workspace);
    }
  }
}

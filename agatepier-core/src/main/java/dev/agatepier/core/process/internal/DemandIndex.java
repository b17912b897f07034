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

/** Demand by router and workspace. Grants under way are taken off what the router last told. */
public final class DemandIndex {

  /** Time for which demand is passed over after the router declined a grant for it. */
  private static final long DECLINE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private record Key(String router, String workspace) {}

  private static final class Entry {
    final Key key;
    int told;
    int granted;
    long sinceNanos;
    boolean paused;
    long pausedUntilNanos;

    Entry(Key key) {
      this.key = key;
    }

    int open() {
      return paused ? 0 : Math.max(0, told - granted);
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

  /** Creates an empty book that keeps the demand of a ledger's accounts up to date. */
  public DemandIndex(WorkspaceLedger ledger) {
    this.ledger = ledger;
  }

  /** Takes what a router tells of one workspace. */
  public void update(String router, WorkspaceDemand demand, long nowNanos) {
    Entry entry = entry(router, demand.workspace());
    change(
        entry,
        () -> {
          entry.told = demand.waiting();
          entry.sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(demand.oldestWaitMillis());
          entry.paused = false;
        });
    paused.remove(entry);
    if (entry.told <= 0 && entry.granted <= 0) {
      byRouter.get(router).remove(demand.workspace());
    }
  }

  /** Drops all demand of a router. */
  public void removeRouter(String router) {
    Map<String, Entry> entries = byRouter.remove(router);
    if (entries != null) {
      for (Entry entry : entries.values()) {
        boolean waited = entry.told > 0;
        change(entry, () -> entry.told = 0);
        if (waited) {
          ledger.markDemandLost(entry.key.workspace());
        }
        paused.remove(entry);
      }
    }
  }

  /** Returns the router whose request of a workspace has waited longest. */
  public Optional<String> oldestRouter(String workspace) {
    Queue queue = byWorkspace.get(workspace);
    return queue == null || queue.open.isEmpty()
        ? Optional.empty()
        : Optional.of(queue.open.first().key.router());
  }

  /** Notes that a router holds a grant for a workspace. */
  public void recordGrant(String router, String workspace) {
    Entry entry = entry(router, workspace);
    change(entry, () -> entry.granted++);
  }

  /**
   * Notes that a grant has been answered or taken back.
   *
   * @param declined whether the router had nothing to run, so that its demand is passed over
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

  /** Takes up demand again that was passed over long enough. */
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

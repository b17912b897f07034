package dev.agatepier.wire.connection;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The bytes that a process holds for callers and upstreams at any time. Up to half of the budget
 * everything is admitted. Above, a large request is rejected if its peer address or its workspace
 * would hold more than a quarter, and a small one if both would hold more than three quarters; the
 * last quarter is kept for small requests. An address at which several workspaces hold bytes is
 * that of a load balancer; large requests there have the share of their workspace only. When bytes
 * that cannot be rejected exceed the budget, the holders that hold most for longest without
 * progress are evicted. All methods but the gauges run on one event loop.
 */
public final class MemoryBudget {

  /**
   * Share of the heap that is the default budget, in percent: the rest is for the router itself.
   */
  private static final int HEAP_PERCENT = 40;

  /**
   * Share of the direct memory that is the default budget, in percent: most is held on the heap,
   * and allocators reserve more than is used.
   */
  private static final int DIRECT_PERCENT = 60;

  private static final int PERCENT = 100;

  /** Size up to which a request is small: ordinary requests have about 72 kB. */
  private static final long SMALL_BYTES = 131_072;

  /** Smallest budget; less could not hold a request of legal size. */
  private static final long MINIMUM_BYTES = 4_194_304;

  /** Time without progress after which a holder gives way to responses that wait for memory. */
  private static final long IDLE_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long maximumBytes;
  private final LongSupplier clock;
  private final Map<Holder, Long> heldBytes = new HashMap<>();
  private final Map<String, Map<String, Long>> bytesByAddress = new HashMap<>();
  private final Map<String, Long> bytesByWorkspace = new HashMap<>();
  private long responseBytes;
  private volatile long totalBytes;

  /** A connection for which bytes are held. */
  public interface Holder {

    /** Returns the peer's address. */
    String address();

    /** Returns the workspace of the request; empty if unknown. It changes only while 0 are held. */
    String workspace();

    /** Returns whether the connection may be closed: it waits for its caller, not for the fleet. */
    boolean evictable();

    /** Returns when the caller last sent or read something, in nanoseconds of the clock. */
    long progressNanos();

    /** Ends the request or the connection; called when the bytes no longer count. */
    void evict();
  }

  /**
   * Creates a budget of which nothing is used.
   *
   * @param maximumBytes bytes of all holders together
   * @param clock monotonic clock, in nanoseconds
   */
  public MemoryBudget(long maximumBytes, LongSupplier clock) {
    if (maximumBytes < 1) {
      throw new IllegalArgumentException("maximumBytes must be at least 1: " + maximumBytes);
    }
    this.maximumBytes = maximumBytes;
    this.clock = clock;
  }

  /** Returns the default budget of a process with a heap and direct memory, all in bytes. */
  public static long defaultBytes(long heapBytes, long directBytes) {
    long ofHeap = heapBytes / PERCENT * HEAP_PERCENT;
    long ofDirect = directBytes / PERCENT * DIRECT_PERCENT;
    return Math.max(MINIMUM_BYTES, Math.min(ofHeap, ofDirect));
  }

  /** Registers the gauges of the budget. */
  public void register(MetricRegistry metrics) {
    metrics.register("memory.held-bytes", (Gauge<Long>) () -> totalBytes);
    metrics.register("memory.budget-bytes", (Gauge<Long>) () -> maximumBytes);
  }

  /** Returns the bytes that are held. */
  public long totalBytes() {
    return totalBytes;
  }

  /** Returns whether a holder may hold additional bytes. */
  public boolean admits(Holder holder, long additionalBytes) {
    long total = totalBytes + additionalBytes;
    if (heldBytes.getOrDefault(holder, 0L) + additionalBytes > maximumBytes / 2) {
      return false;
    }
    if (total <= maximumBytes / 2) {
      return true;
    }
    Map<String, Long> atAddress = bytesByAddress.getOrDefault(holder.address(), Map.of());
    long ofAddress = sum(atAddress) + additionalBytes;
    long ofWorkspace = bytesByWorkspace.getOrDefault(holder.workspace(), 0L) + additionalBytes;
    boolean small = heldBytes.getOrDefault(holder, 0L) + additionalBytes <= SMALL_BYTES;
    return small
        ? total <= maximumBytes && Math.min(ofAddress, ofWorkspace) <= maximumBytes / 4 * 3
        : total <= maximumBytes / 4 * 3
            && ofWorkspace <= maximumBytes / 4
            && (ofAddress <= maximumBytes / 4 || hasOthers(atAddress, holder.workspace()));
  }

  private static long sum(Map<String, Long> bytes) {
    long sum = 0;
    for (long held : bytes.values()) {
      sum += held;
    }
    return sum;
  }

  /** Returns whether a workspace other than the given and the unknown one holds bytes. */
  private static boolean hasOthers(Map<String, Long> atAddress, String workspace) {
    return atAddress.keySet().stream()
        .anyMatch(other -> !other.isEmpty() && !other.equals(workspace));
  }

  /** Sets the bytes of a holder; evicts holders while there are too many. */
  public void set(Holder holder, long bytes) {
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    long added = bytes - (before == null ? 0 : before);
    addAtAddress(holder, added);
    add(bytesByWorkspace, holder.workspace(), added);
    totalBytes += added;
    if (added > 0) {
      evictWhileTooMany();
    }
  }

  /** Sets the bytes of incomplete responses of upstreams, which have a bound of their own. */
  public void setResponses(long bytes) {
    long added = bytes - responseBytes;
    responseBytes = bytes;
    totalBytes += added;
    if (added > 0) {
      evictWhileTooMany();
    }
  }

  /** Adds bytes of responses that are on their way to their callers; negative to remove them. */
  public void addPassing(long bytes) {
    totalBytes += bytes;
    if (bytes > 0) {
      evictWhileTooMany();
    }
  }

  /** Returns whether nothing should be read that can wait. */
  public boolean isScarce() {
    return totalBytes > maximumBytes / 4 * 3;
  }

  /** Evicts holders that made no progress for a second while memory is scarce. */
  public void relieve() {
    long now = clock.getAsLong();
    boolean evicted = true;
    while (isScarce() && evicted) {
      evicted = evictOne(now, IDLE_MILLIS);
    }
  }

  private void evictWhileTooMany() {
    boolean evicted = true;
    while (totalBytes > maximumBytes && evicted) {
      evicted = evictOne(clock.getAsLong(), 0);
    }
  }

  private boolean evictOne(long now, long idleMillis) {
    Optional<Holder> victim =
        heldBytes.keySet().stream()
            .filter(holder -> holder.evictable() && idleMillis(holder, now) >= idleMillis)
            .max(Comparator.comparingLong(holder -> weight(holder, now)));
    victim.ifPresent(
        holder -> {
          set(holder, 0);
          holder.evict();
        });
    return victim.isPresent();
  }

  private static long idleMillis(Holder holder, long now) {
    return Math.max(0, now - holder.progressNanos()) / NANOS_PER_MILLI;
  }

  /** Returns the product of the bytes held and the time without progress. */
  private long weight(Holder holder, long now) {
    return heldBytes.get(holder) * (1 + idleMillis(holder, now));
  }

  private void addAtAddress(Holder holder, long added) {
    Map<String, Long> atAddress =
        bytesByAddress.computeIfAbsent(holder.address(), address -> new HashMap<>());
    add(atAddress, holder.workspace(), added);
    if (atAddress.isEmpty()) {
      bytesByAddress.remove(holder.address());
    }
  }

  private static void add(Map<String, Long> bytes, String name, long added) {
    if (added != 0) {
      bytes.merge(name, added, (held, more) -> held + more == 0 ? null : held + more);
    }
  }
}

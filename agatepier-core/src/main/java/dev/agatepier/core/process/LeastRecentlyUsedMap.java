package dev.agatepier.core.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** A map of bounded size that evicts the entry that was used least recently. */
public final class LeastRecentlyUsedMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maximumSize;
  private final transient Consumer<K> evicted;

  /**
   * Creates an empty map that tells nobody of evictions.
   *
   * @param maximumSize maximum number of entries
   */
  public LeastRecentlyUsedMap(int maximumSize) {
    this(maximumSize, key -> {});
  }

  /**
   * Creates an empty map.
   *
   * @param maximumSize maximum number of entries
   * @param evicted called with the key of each entry that is evicted
   */
  public LeastRecentlyUsedMap(int maximumSize, Consumer<K> evicted) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maximumSize = maximumSize;
    this.evicted = evicted;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    boolean evicts = size() > maximumSize;
    if (evicts) {
      evicted.accept(eldest.getKey());
    }
    return evicts;
  }
}

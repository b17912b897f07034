package dev.agatepier.core.process.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/** Rendezvous hashing: ranks names for a key so that few keys move when a name comes or goes. */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns items in the order of their names for a key, after an order that comes first. Each name
   * is hashed once.
   */
  public static <T> List<T> sorted(
      String key, Collection<T> items, ToIntFunction<T> first, Function<T, String> name) {
    return items.stream()
        .map(item -> new Ranked<>(item, first.applyAsInt(item), score(key, name.apply(item))))
        .sorted(
            Comparator.<Ranked<T>>comparingInt(Ranked::first)
                .thenComparing(Comparator.<Ranked<T>>comparingLong(Ranked::score).reversed())
                .thenComparing(ranked -> name.apply(ranked.item())))
        .map(Ranked::item)
        .toList();
  }

  /** Returns names in their order for a key, the one chosen first. */
  static List<String> sorted(String key, Collection<String> names) {
    return sorted(key, names, name -> 0, name -> name);
  }

  /** Returns the name chosen for a key; empty if there are no names. */
  public static Optional<String> choose(String key, Collection<String> names) {
    return sorted(key, names).stream().findFirst();
  }

  private record Ranked<T>(T item, int first, long score) {}

  /** Returns the 64-bit FNV-1a hash of the first bytes of an array. */
  static long hash(long start, byte[] bytes, int length) {
    long hash = start ^ FNV_OFFSET;
    for (int index = 0; index < length; index++) {
      hash = (hash ^ (bytes[index] & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  private static long score(String key, String name) {
    byte[] bytes = (key + '\n' + name).getBytes(StandardCharsets.UTF_8);
    return mix(hash(0, bytes, bytes.length));
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}

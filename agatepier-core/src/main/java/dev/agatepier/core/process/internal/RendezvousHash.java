package dev.agatepier.core.process.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * Rendezvous hashing: ranks names for a key. Adding or removing a name moves only a small share of
 * the keys.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Bits of a score beyond the precision of a floating-point number. */
  private static final int UNUSED_BITS = 11;

  private RendezvousHash() {}

  /**
   * Sorts items by group, then by the rank of their names for a key. Each name is hashed once.
   *
   * @param group returns the group of an item; lower groups come first
   */
  public static <T> List<T> sorted(
      String key, Collection<T> items, ToIntFunction<T> group, Function<T, String> name) {
    return items.stream()
        .map(item -> new Ranked<>(item, group.applyAsInt(item), score(key, name.apply(item))))
        .sorted(
            Comparator.<Ranked<T>>comparingInt(Ranked::group)
                .thenComparing(Comparator.<Ranked<T>>comparingLong(Ranked::score).reversed())
                .thenComparing(ranked -> name.apply(ranked.item())))
        .map(Ranked::item)
        .toList();
  }

  /** Returns names by their rank for a key, the one that {@link #choose} returns first. */
  static List<String> sorted(String key, Collection<String> names) {
    return sorted(key, names, name -> 0, name -> name);
  }

  /** Returns the highest-ranked name for a key; empty if there are no names. */
  public static Optional<String> choose(String key, Collection<String> names) {
    return sorted(key, names).stream().findFirst();
  }

  /**
   * Sorts items by the rank of their names for a key, each ahead of the others in proportion to its
   * weight. A weight that changes moves a small share of the keys only, and equal weights give the
   * order of {@link #sorted(String, Collection)}.
   *
   * @param weight returns the weight of an item, which must be positive
   */
  static <T> List<T> sortedByWeight(
      String key, Collection<T> items, Function<T, String> name, ToDoubleFunction<T> weight) {
    record Weighted<T>(T item, double distance) {}

    return items.stream()
        .map(
            item ->
                new Weighted<>(
                    item,
                    -Math.log(unitInterval(score(key, name.apply(item))))
                        / weight.applyAsDouble(item)))
        .sorted(
            Comparator.<Weighted<T>>comparingDouble(Weighted::distance)
                .thenComparing(weighted -> name.apply(weighted.item())))
        .map(Weighted::item)
        .toList();
  }

  /** Maps scores to numbers between 0 and 1, in the same order. */
  private static double unitInterval(long score) {
    return (((score ^ Long.MIN_VALUE) >>> UNUSED_BITS) + 0.5) * 0x1p-53;
  }

  private record Ranked<T>(T item, int group, long score) {}

  /**
   * Returns the 64-bit FNV-1a hash of the first bytes of an array.
   *
   * @param seed seed that is mixed into the offset basis; 0 for plain FNV-1a
   * @param length number of bytes
   */
  static long hash(long seed, byte[] bytes, int length) {
    long hash = seed ^ FNV_OFFSET;
    for (int index = 0; index < length; index++) {
      hash = (hash ^ (bytes[index] & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  private static long score(String key, String name) {
    byte[] bytes = (key + '\n' + name).getBytes(StandardCharsets.UTF_8);
    return mix(hash(0, bytes, bytes.length));
  }

  /** Returns a value of which each bit depends on all bits of the argument. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}

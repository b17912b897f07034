package dev.agatepier.core.process.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing: ranks names for a key so that few keys move when a name comes or goes. */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the order of names for a key, the one chosen first. */
  public static Comparator<String> order(String key) {
    return Comparator.<String>comparingLong(name -> score(key, name))
        .reversed()
        .thenComparing(Comparator.naturalOrder());
  }

  /** Returns the name chosen for a key; empty if there are no names. */
  public static Optional<String> choose(String key, Collection<String> names) {
    return names.stream().min(order(key));
  }

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

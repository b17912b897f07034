package dev.agatepier.core.process.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Chooses one of several names for a key so that few keys move when a name comes or goes. */
public final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long MIX = 0xff51afd7ed558ccdL;

  private RendezvousHash() {}

  /** Returns the name chosen for a key; empty if there are no names. */
  public static Optional<String> choose(String key, Collection<String> names) {
    return names.stream()
        .max(
            Comparator.<String>comparingLong(name -> hash(key, name))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long hash(String key, String name) {
    long hash = FNV_OFFSET;
    for (byte part : (key + '\n' + name).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (part & 0xff)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * MIX;
    return hash ^ (hash >>> 33);
  }
}

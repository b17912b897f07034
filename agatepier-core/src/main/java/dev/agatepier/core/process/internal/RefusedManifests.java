package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import java.util.TreeMap;

/** Remembers refused table versions, bounded in number. */
public final class RefusedManifests {

  private static final int MAXIMUM_REMEMBERED = 64;

  private final TreeMap<Long, ManifestTransfer> manifests = new TreeMap<>();

  /** Remembers a refusal. */
  public void add(ManifestTransfer manifest) {
    manifests.put(manifest.version(), manifest);
    if (manifests.size() > MAXIMUM_REMEMBERED) {
      manifests.pollFirstEntry();
    }
  }

  /** Returns whether any manifest of a version was refused. */
  public boolean contains(long version) {
    return manifests.containsKey(version);
  }

  /** Returns whether this very manifest was refused. */
  public boolean contains(ManifestTransfer manifest) {
    return manifest.equals(manifests.get(manifest.version()));
  }

  /** Returns the highest refused version; 0 for none. */
  public long highest() {
    return manifests.isEmpty() ? 0 : manifests.lastKey();
  }
}

package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import java.util.TreeMap;

/**
 * Records the manifests of refused table versions; beyond the capacity the lowest version is
 * dropped.
 */
public final class RefusedManifests {

  private static final int CAPACITY = 64;

  private final TreeMap<Long, ManifestTransfer> manifests = new TreeMap<>();

  /** Records a manifest, replacing any other of the same version. */
  public void add(ManifestTransfer manifest) {
    manifests.put(manifest.version(), manifest);
    if (manifests.size() > CAPACITY) {
      manifests.pollFirstEntry();
    }
  }

  /** Returns whether any manifest of a version was refused. */
  public boolean contains(long version) {
    return manifests.containsKey(version);
  }

  /** Returns whether exactly this manifest was refused. */
  public boolean contains(ManifestTransfer manifest) {
    return manifest.equals(manifests.get(manifest.version()));
  }

  /** Returns the highest refused version; 0 if there is none. */
  public long highest() {
    return manifests.isEmpty() ? 0 : manifests.lastKey();
  }
}

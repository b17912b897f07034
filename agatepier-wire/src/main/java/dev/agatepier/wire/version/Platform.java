package dev.agatepier.wire.version;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** What the platform publishes; a failed future carries a {@link PlatformException}. */
public interface Platform {

  /**
   * Reads the manifest of the table.
   *
   * @param afterVersion version above which there is something to read
   * @param waitSeconds how long to wait for such a version, in seconds; 0 to read what there is
   * @return the manifest; nothing if the wait ended without change
   */
  CompletableFuture<Optional<ManifestTransfer>> manifest(long afterVersion, int waitSeconds);

  /** Reads a page and checks its digest. */
  CompletableFuture<Bytes> page(PageReference page);

  /**
   * Reads the instance list.
   *
   * @param afterVersion version above which there is something to read
   * @param waitSeconds how long to wait for such a version, in seconds; 0 to read what there is
   * @return the list; nothing if the wait ended without change
   */
  CompletableFuture<Optional<InstanceList>> instances(long afterVersion, int waitSeconds);

  /**
   * Takes the instance list that is in force from now on, which may have come from a peer.
   *
   * @param list the list
   */
  default void onInstancesActivated(InstanceList list) {}
}

package dev.agatepier.wire.version;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads what the platform publishes. Failed futures complete with a {@link PlatformException}. */
public interface Platform {

  /**
   * Reads the manifest of the table.
   *
   * @param afterVersion wait for a version greater than this one
   * @param waitSeconds maximum wait in seconds; 0 to read the current version at once
   * @return the manifest; empty if the wait ended without a newer version
   */
  CompletableFuture<Optional<ManifestTransfer>> manifest(long afterVersion, int waitSeconds);

  /** Reads a page and verifies its digest. */
  CompletableFuture<Bytes> page(PageReference page);

  /**
   * Reads the instance list.
   *
   * @param afterVersion wait for a version greater than this one, or for evacuations that are newer
   *     than those of the active list
   * @param waitSeconds maximum wait in seconds; 0 to read the current version at once
   * @param calledAt time of this call, from which a read that it starts is dated
   * @return the list, without one if the wait ended without a newer version
   */
  CompletableFuture<InstanceListRead> instances(
      long afterVersion, int waitSeconds, ReadTimestamp calledAt);

  /**
   * Reads all upstreams that are registered now, also while a read of the instance list waits. The
   * result includes every registration that was acknowledged before the call.
   */
  default CompletableFuture<List<Upstream>> upstreams() {
    return instances(0, 0, ReadTimestamp.UNTIMED)
        .thenApply(
            read ->
                read.newer()
                    .orElseThrow(() -> new PlatformException("there is no instance list"))
                    .upstreams());
  }

  /**
   * Reads which software versions upstreams had before the active instance list. Must not be called
   * before a list is active.
   *
   * @return the software versions; {@link SoftwareVersionHistory#NONE} if the platform cannot tell
   */
  default CompletableFuture<SoftwareVersionHistory> softwareVersions() {
    return CompletableFuture.completedFuture(SoftwareVersionHistory.NONE);
  }

  /**
   * Called when an instance list becomes active; it may have been received from a peer.
   *
   * @param list the active instance list
   */
  default void onInstancesActivated(InstanceList list) {}
}

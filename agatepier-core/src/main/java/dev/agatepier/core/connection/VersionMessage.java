package dev.agatepier.core.connection;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import java.util.List;

/** Messages that transfer table versions and instance lists between peers. */
public sealed interface VersionMessage extends LinkMessage {

  /**
   * One page of a published table version.
   *
   * @param name name of the page at the platform
   * @param digest lower-case hexadecimal SHA-256 of its content
   * @param size size in bytes
   */
  record PageReference(String name, String digest, int size) {}

  /**
   * Manifest of a table version: the pages that it consists of.
   *
   * @param version the table version
   * @param pages the pages, first those of workspaces, then those of services
   */
  record ManifestTransfer(long version, List<PageReference> pages) implements VersionMessage {
    /** Copies the pages. */
    public ManifestTransfer {
      pages = List.copyOf(pages);
    }
  }

  /**
   * Requests the manifest of a peer's newest table version.
   *
   * @param knownVersion active version of the sender; 0 for none
   */
  record ManifestRequest(long knownVersion) implements VersionMessage {}

  /**
   * Requests a page from a peer.
   *
   * @param digest digest of the page's content
   */
  record PageRequest(String digest) implements VersionMessage {}

  /**
   * Response to a {@link PageRequest}.
   *
   * @param digest digest of the content
   * @param content content of the page; empty if the sender does not have it
   */
  record PageTransfer(String digest, Bytes content) implements VersionMessage {}

  /**
   * Requests the time at which a peer's table was last confirmed to be the newest.
   *
   * @param number number that correlates request and response
   */
  record ConfirmationRequest(long number) implements VersionMessage {}

  /**
   * Response to a {@link ConfirmationRequest}.
   *
   * @param number number of the request
   * @param version confirmed table version; 0 if the sender has no confirmation that is still valid
   * @param evacuatedRevision revision of the evacuated data centres that the sender knows, which
   *     the same read confirms; 0 for none
   * @param ageMillis time from just before the read that confirmed the version to the arrival of
   *     the request, in milliseconds
   */
  record ConfirmationTransfer(long number, long version, long evacuatedRevision, long ageMillis)
      implements VersionMessage {

    /** Creates the response of a sender that knows of no evacuation. */
    public ConfirmationTransfer(long number, long version, long ageMillis) {
      this(number, version, 0, ageMillis);
    }

    /** Returns this response with the revision of the evacuated data centres. */
    public ConfirmationTransfer withEvacuatedRevision(long revision) {
      return new ConfirmationTransfer(number, version, revision, ageMillis);
    }
  }

  /**
   * Requests a peer's newest instance list.
   *
   * @param knownVersion instance list version that the sender has; 0 for none
   * @param knownEvacuatedRevision revision of the evacuated data centres that the sender has; 0 for
   *     none
   */
  record InstancesRequest(long knownVersion, long knownEvacuatedRevision)
      implements VersionMessage {}

  /**
   * Response to an {@link InstancesRequest}, sent only if the sender has a newer list.
   *
   * @param list the list, with all instances, upstreams and evacuated data centres
   */
  record InstancesTransfer(InstanceList list) implements VersionMessage {}
}

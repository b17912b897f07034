package dev.agatepier.core.connection;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/** Messages that carry table versions and instance lists from peer to peer. */
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
   * A peer tells what a table version consists of.
   *
   * @param version the table version
   * @param pages its pages, workspaces first, services last
   */
  record ManifestTransfer(long version, List<PageReference> pages) implements VersionMessage {
    /** Copies the pages. */
    public ManifestTransfer {
      pages = List.copyOf(pages);
    }
  }

  /**
   * Asks a peer for the manifest of its newest table version.
   *
   * @param knownVersion version that the sender has in force; 0 for none
   */
  record ManifestRequest(long knownVersion) implements VersionMessage {}

  /**
   * Asks a peer for a page.
   *
   * @param digest digest of the page's content
   */
  record PageRequest(String digest) implements VersionMessage {}

  /**
   * Answers a {@link PageRequest}.
   *
   * @param digest digest of the content
   * @param content the page; empty if the sender does not have it
   */
  record PageTransfer(String digest, Bytes content) implements VersionMessage {}

  /**
   * Asks a peer how lately its table was confirmed to be the newest.
   *
   * @param number number of the question
   */
  record ConfirmationRequest(long number) implements VersionMessage {}

  /**
   * Answers a {@link ConfirmationRequest}.
   *
   * @param number number of the question
   * @param version table version that was confirmed; 0 if the sender knows of no lasting one
   * @param ageMillis time from before the read that confirmed it to the question's arrival, in
   *     milliseconds
   */
  record ConfirmationTransfer(long number, long version, long ageMillis)
      implements VersionMessage {}

  /**
   * Asks a peer for its newest instance list.
   *
   * @param knownVersion version that the sender has; 0 for none
   */
  record InstancesRequest(long knownVersion) implements VersionMessage {}

  /**
   * Answers an {@link InstancesRequest} when the sender has a newer list.
   *
   * @param version version of the list
   * @param instances the whole list of instances
   * @param upstreams the whole list of upstreams
   */
  record InstancesTransfer(long version, List<Instance> instances, List<Upstream> upstreams)
      implements VersionMessage {
    /** Copies the lists. */
    public InstancesTransfer {
      instances = List.copyOf(instances);
      upstreams = List.copyOf(upstreams);
    }
  }
}

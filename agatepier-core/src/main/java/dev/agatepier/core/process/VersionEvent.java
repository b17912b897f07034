package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;

/** Events of the version decision. */
public sealed interface VersionEvent {

  /**
   * A link was established and authenticated.
   *
   * @param peer the remote process
   */
  record PeerConnected(PeerIdentity peer) implements VersionEvent {}

  /**
   * A link was closed.
   *
   * @param peer the remote process
   */
  record PeerDisconnected(PeerIdentity peer) implements VersionEvent {}

  /**
   * A message about versions was received over a link. Pages arrive as {@link PageReceived}.
   *
   * @param peer the sender
   * @param message the message
   * @param receivedAt time of receipt, by the monotonic and the wall clock
   */
  record MessageReceived(PeerIdentity peer, LinkMessage message, ReadTimestamp receivedAt)
      implements VersionEvent {}

  /**
   * A requested page was received and its digest was checked.
   *
   * @param source instance name of the peer, or {@link VersionDecision#PLATFORM}
   * @param digest the requested digest
   * @param content the page; empty if the source does not have it or its digest does not match
   */
  record PageReceived(String source, String digest, Optional<Bytes> content)
      implements VersionEvent {}

  /**
   * The manifest of the platform's table version was read.
   *
   * @param manifest the manifest
   * @param jitter random number from 0 to 1
   * @param startedAt time at which the read started
   */
  record ManifestRead(
      VersionMessage.ManifestTransfer manifest, double jitter, ReadTimestamp startedAt)
      implements VersionEvent {}

  /**
   * The platform's instance list was read.
   *
   * @param instances the list
   * @param jitter random number from 0 to 1
   * @param startedAt time at which the read started
   */
  record InstancesRead(InstanceList instances, double jitter, ReadTimestamp startedAt)
      implements VersionEvent {

    /** Creates the event of a read without a known time. */
    public InstancesRead(InstanceList instances, double jitter) {
      this(instances, jitter, ReadTimestamp.UNTIMED);
    }
  }

  /**
   * A watch of the platform ended without a change.
   *
   * @param subject the watched data
   * @param startedAt time at which the watch started
   */
  record PlatformUnchanged(PlatformSubject subject, ReadTimestamp startedAt)
      implements VersionEvent {}

  /**
   * A read of the platform failed.
   *
   * @param subject the data to be read
   * @param jitter random number from 0 to 1
   */
  record ReadFailed(PlatformSubject subject, double jitter) implements VersionEvent {}

  /** The upstreams that are registered now are wanted, as read after this event. */
  record UpstreamsWanted() implements VersionEvent {}

  /**
   * All registered upstreams were read from the platform for {@link UpstreamsWanted}.
   *
   * @param upstreams the upstreams
   * @param startedAt time at which the read started
   */
  record UpstreamsRead(List<Upstream> upstreams, ReadTimestamp startedAt) implements VersionEvent {

    /** Copies the upstreams. */
    public UpstreamsRead {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * The read for {@link UpstreamsWanted} failed.
   *
   * @param startedAt time at which the read started
   */
  record UpstreamsReadFailed(ReadTimestamp startedAt) implements VersionEvent {}

  /**
   * The pages of a manifest form a valid table.
   *
   * @param manifest the manifest
   * @param table the decoded table
   */
  record TablePrepared(VersionMessage.ManifestTransfer manifest, Table table)
      implements VersionEvent {}

  /**
   * The pages of a manifest do not form a valid table.
   *
   * @param manifest the manifest
   * @param mistakes the mistakes in the pages
   */
  record TableRefused(VersionMessage.ManifestTransfer manifest, List<TableMistake> mistakes)
      implements VersionEvent {
    /** Copies the mistakes. */
    public TableRefused {
      mistakes = List.copyOf(mistakes);
    }
  }

  /**
   * The periodic timer has expired.
   *
   * @param jitter random number from 0 to 1
   * @param now time of the event, by the monotonic and the wall clock
   */
  record Tick(double jitter, ReadTimestamp now) implements VersionEvent {}
}

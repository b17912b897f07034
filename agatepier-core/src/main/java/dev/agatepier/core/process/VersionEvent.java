package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableMistake;
import java.util.List;
import java.util.Optional;

/** Everything that the version decision is told. */
public sealed interface VersionEvent {

  /**
   * A link is up and authenticated.
   *
   * @param peer the other end
   */
  record PeerConnected(PeerIdentity peer) implements VersionEvent {}

  /**
   * A link is gone.
   *
   * @param peer the other end
   */
  record PeerDisconnected(PeerIdentity peer) implements VersionEvent {}

  /**
   * A message about versions came over a link; pages come as {@link PageArrived}.
   *
   * @param peer the sender
   * @param message the message
   * @param receivedAt when it came, by both clocks
   */
  record MessageArrived(PeerIdentity peer, LinkMessage message, ReadTimestamp receivedAt)
      implements VersionEvent {}

  /**
   * A page that was asked for came, and its digest has been checked.
   *
   * @param source instance name of the peer, or {@link VersionDecision#PLATFORM}
   * @param digest digest that was asked for
   * @param content the page; empty if the source does not have it or the digest does not match
   */
  record PageArrived(String source, String digest, Optional<Bytes> content)
      implements VersionEvent {}

  /**
   * The platform told what its table version consists of.
   *
   * @param manifest the manifest
   * @param jitter random number from 0 to 1
   * @param startedAt when the read was begun
   */
  record ManifestRead(
      VersionMessage.ManifestTransfer manifest, double jitter, ReadTimestamp startedAt)
      implements VersionEvent {}

  /**
   * The platform told its instance list.
   *
   * @param instances the list
   * @param jitter random number from 0 to 1
   */
  record InstancesRead(InstanceList instances, double jitter) implements VersionEvent {}

  /**
   * A watch of the platform ended without change.
   *
   * @param subject what was watched
   * @param startedAt when the watch was begun
   */
  record PlatformUnchanged(PlatformSubject subject, ReadTimestamp startedAt)
      implements VersionEvent {}

  /**
   * A read of the platform failed.
   *
   * @param subject what was read
   * @param jitter random number from 0 to 1
   */
  record ReadFailed(PlatformSubject subject, double jitter) implements VersionEvent {}

  /**
   * The pages of a manifest make a sound table.
   *
   * @param manifest the manifest
   * @param table the version
   */
  record TablePrepared(VersionMessage.ManifestTransfer manifest, Table table)
      implements VersionEvent {}

  /**
   * The pages of a manifest do not make a sound table.
   *
   * @param manifest the manifest
   * @param mistakes what is wrong
   */
  record TableRefused(VersionMessage.ManifestTransfer manifest, List<TableMistake> mistakes)
      implements VersionEvent {
    /** Copies the mistakes. */
    public TableRefused {
      mistakes = List.copyOf(mistakes);
    }
  }

  /**
   * Time has passed.
   *
   * @param jitter random number from 0 to 1
   * @param now the time of the event, by both clocks
   */
  record TimePassed(double jitter, ReadTimestamp now) implements VersionEvent {}
}

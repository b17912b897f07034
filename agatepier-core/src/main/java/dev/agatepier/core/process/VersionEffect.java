package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableMistake;
import java.util.List;

/** Everything that the version decision asks for. */
public sealed interface VersionEffect {

  /**
   * Send a message over the link to a peer; dropped if there is no such link.
   *
   * @param instance instance name of the peer
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements VersionEffect {}

  /**
   * Read from the platform, once; answered by exactly one of {@link VersionEvent.ManifestRead},
   * {@link VersionEvent.InstancesRead}, {@link VersionEvent.PlatformUnchanged} and {@link
   * VersionEvent.ReadFailed}.
   *
   * @param subject what to read
   * @param afterVersion version above which there is something to read
   * @param waitSeconds how long to wait for such a version, in seconds; 0 to read what there is
   */
  record ReadPlatform(PlatformSubject subject, long afterVersion, int waitSeconds)
      implements VersionEffect {}

  /**
   * Read a page of the platform; answered by {@link VersionEvent.PageArrived}.
   *
   * @param page the page
   */
  record ReadPage(VersionMessage.PageReference page) implements VersionEffect {}

  /**
   * Decode and check a table; answered by {@link VersionEvent.TablePrepared} or {@link
   * VersionEvent.TableRefused}.
   *
   * @param manifest what it consists of
   * @param pages content of its pages, in the manifest's order
   */
  record PrepareTable(VersionMessage.ManifestTransfer manifest, List<Bytes> pages)
      implements VersionEffect {
    /** Copies the pages. */
    public PrepareTable {
      pages = List.copyOf(pages);
    }
  }

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record PublishTable(Table table) implements VersionEffect {}

  /**
   * The table in force was the newest one when a read of the platform was begun.
   *
   * @param startedAt when the read was begun
   */
  record ConfirmTable(ReadTimestamp startedAt) implements VersionEffect {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record PublishInstances(InstanceList instances) implements VersionEffect {}

  /**
   * Tell operators that a table version was refused.
   *
   * @param version the version
   * @param mistakes what is wrong with it
   */
  record ReportRefusal(long version, List<TableMistake> mistakes) implements VersionEffect {
    /** Copies the mistakes. */
    public ReportRefusal {
      mistakes = List.copyOf(mistakes);
    }
  }
}

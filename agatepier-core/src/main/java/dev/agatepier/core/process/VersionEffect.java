package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/** Effects of the version decision. */
public sealed interface VersionEffect {

  /**
   * Send a message over the link to a peer. The message is dropped if there is no link.
   *
   * @param instance instance name of the peer
   * @param message the message
   */
  record Send(String instance, LinkMessage message) implements VersionEffect {}

  /**
   * Read from the platform once. The read results in exactly one of {@link
   * VersionEvent.ManifestRead}, {@link VersionEvent.InstancesRead}, {@link
   * VersionEvent.PlatformUnchanged} and {@link VersionEvent.ReadFailed}.
   *
   * @param subject the data to read
   * @param afterVersion only a version above this one is read
   * @param waitSeconds maximum time to wait for such a version, in seconds; 0 to return immediately
   */
  record ReadPlatform(PlatformSubject subject, long afterVersion, int waitSeconds)
      implements VersionEffect {}

  /**
   * Read all registered upstreams from the platform. Results in {@link VersionEvent.UpstreamsRead}
   * or {@link VersionEvent.UpstreamsReadFailed}.
   */
  record ReadUpstreams() implements VersionEffect {}

  /**
   * Read a page from the platform. The read results in {@link VersionEvent.PageReceived}.
   *
   * @param page the page
   */
  record ReadPage(VersionMessage.PageReference page) implements VersionEffect {}

  /**
   * Decode and validate a table. This results in {@link VersionEvent.TablePrepared} or {@link
   * VersionEvent.TableRefused}.
   *
   * @param manifest the table's manifest
   * @param pages contents of the pages, in the manifest's order
   */
  record PrepareTable(VersionMessage.ManifestTransfer manifest, List<Bytes> pages)
      implements VersionEffect {
    /** Copies the pages. */
    public PrepareTable {
      pages = List.copyOf(pages);
    }
  }

  /**
   * Activate a table version.
   *
   * @param table the table of this version
   */
  record PublishTable(Table table) implements VersionEffect {}

  /**
   * Confirm that the active table was the latest one when a read of the platform started.
   *
   * @param startedAt time at which the read started
   */
  record ConfirmTable(ReadTimestamp startedAt) implements VersionEffect {}

  /**
   * Activate a version of the instance list.
   *
   * @param instances the list of this version
   */
  record PublishInstances(InstanceList instances) implements VersionEffect {}

  /**
   * Confirm that the active instance list was the newest one when a read of the platform started.
   *
   * @param startedAt time at which the read started
   */
  record ConfirmInstances(ReadTimestamp startedAt) implements VersionEffect {}

  /**
   * Report the upstreams that were read for {@link VersionEvent.UpstreamsWanted}.
   *
   * @param upstreams the upstreams
   * @param startedAt time at which the read started
   */
  record ReportUpstreams(List<Upstream> upstreams, ReadTimestamp startedAt)
      implements VersionEffect {
    /** Copies the upstreams. */
    public ReportUpstreams {
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Report that the upstreams could not be read.
   *
   * @param startedAt time at which the read started
   */
  record ReportUpstreamsUnknown(ReadTimestamp startedAt) implements VersionEffect {}

  /**
   * Report to operators that the evacuation of a data centre started or ended here.
   *
   * @param dataCentre name of the data centre
   * @param started whether it started
   * @param ageMillis time for which the data centre was evacuated here, in milliseconds
   * @param source instance name of the peer that sent the list, or {@link VersionDecision#PLATFORM}
   */
  record ReportEvacuation(String dataCentre, boolean started, long ageMillis, String source)
      implements VersionEffect {}

  /**
   * Report to operators that a table version was rejected.
   *
   * @param version the rejected version
   * @param mistakes the mistakes in it
   */
  record ReportRefusal(long version, List<TableMistake> mistakes) implements VersionEffect {
    /** Copies the mistakes. */
    public ReportRefusal {
      mistakes = List.copyOf(mistakes);
    }
  }
}

package dev.agatepier.wire.version;

import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;

/**
 * Receives versions from the task of the version service, in ascending order. Its methods must not
 * block.
 */
public interface VersionListener {

  /** Called when a version of the table becomes active. */
  void onTableActivated(Table table);

  /**
   * Called when a read of the platform has confirmed that the active table is the newest version.
   *
   * @param readStarted when that read was started
   */
  default void onTableConfirmed(ReadTimestamp readStarted) {}

  /**
   * Called when a read of the platform has confirmed that the active instance list is the newest
   * version.
   *
   * @param readStarted when that read was started
   */
  default void onInstancesConfirmed(ReadTimestamp readStarted) {}

  /**
   * Called when all registered upstreams were read on request, see {@link
   * VersionService#readUpstreams}.
   *
   * @param upstreams the upstreams, which may differ from the active instance list
   * @param readStarted when that read was started
   */
  default void onUpstreamsRead(List<Upstream> upstreams, ReadTimestamp readStarted) {}

  /**
   * Called when such a read has failed.
   *
   * @param readStarted when that read was started
   */
  default void onUpstreamsReadFailed(ReadTimestamp readStarted) {}

  /** Called when a version of the instance list becomes active. */
  void onInstancesActivated(InstanceList instances);

  /**
   * Called once at most, when it was read which software versions upstreams had before the first
   * instance list became active. May be called by another thread than the other methods.
   *
   * @param history the software versions; they reach back before the first list
   */
  default void onSoftwareVersionsRead(SoftwareVersionHistory history) {}
}

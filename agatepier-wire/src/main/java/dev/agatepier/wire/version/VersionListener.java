package dev.agatepier.wire.version;

import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;

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

  /** Called when a version of the instance list becomes active. */
  void onInstancesActivated(InstanceList instances);
}

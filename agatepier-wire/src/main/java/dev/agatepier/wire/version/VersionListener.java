package dev.agatepier.wire.version;

import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;

/** Told of versions by the version service's task, in rising order; must not block. */
public interface VersionListener {

  /** A table version is in force from now on. */
  void onTableActivated(Table table);

  /** The table in force was the newest one when a read of the platform was begun. */
  default void onTableConfirmed(ReadTimestamp begun) {}

  /** A version of the instance list is in force from now on. */
  void onInstancesActivated(InstanceList instances);
}

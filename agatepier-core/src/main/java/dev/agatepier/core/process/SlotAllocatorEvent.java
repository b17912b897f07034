package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;

/** Everything that a slot keeper is told. */
public sealed interface SlotAllocatorEvent {

  /**
   * A message came from a router, which may be the keeper's own.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record MessageArrived(String router, SlotMessage message) implements SlotAllocatorEvent {}

  /**
   * A link to another router is up.
   *
   * @param router the other router
   */
  record RouterConnected(PeerIdentity router) implements SlotAllocatorEvent {}

  /**
   * A link to another router is gone, and all that the router had with it.
   *
   * @param router the other router
   */
  record RouterDisconnected(PeerIdentity router) implements SlotAllocatorEvent {}

  /**
   * A router, which may be the keeper's own, has said whether it is about to stop.
   *
   * @param router instance name of the router
   * @param leaving whether it is about to stop
   */
  record RouterLeaving(String router, boolean leaving) implements SlotAllocatorEvent {}

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableActivated(Table table) implements SlotAllocatorEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesActivated(InstanceList instances) implements SlotAllocatorEvent {}

  /** Time has passed. */
  record TimePassed() implements SlotAllocatorEvent {}
}

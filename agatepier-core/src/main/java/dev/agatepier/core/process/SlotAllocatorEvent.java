package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;

/** Events of the slot allocator. */
public sealed interface SlotAllocatorEvent {

  /**
   * A message of a router, which may be the allocator's own, was received.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record MessageReceived(String router, SlotMessage message) implements SlotAllocatorEvent {}

  /**
   * A link to another router was established.
   *
   * @param router the other router
   */
  record RouterConnected(PeerIdentity router) implements SlotAllocatorEvent {}

  /**
   * The link to another router was closed. All requests of that router are removed.
   *
   * @param router the other router
   */
  record RouterDisconnected(PeerIdentity router) implements SlotAllocatorEvent {}

  /**
   * A router, which may be the allocator's own, has reported whether it is about to stop.
   *
   * @param router instance name of the router
   * @param leaving whether it is about to stop
   */
  record RouterLeaving(String router, boolean leaving) implements SlotAllocatorEvent {}

  /**
   * A table version was activated.
   *
   * @param table the table of this version
   */
  record TableActivated(Table table) implements SlotAllocatorEvent {}

  /**
   * A version of the instance list was activated.
   *
   * @param instances the list of this version
   */
  record InstancesActivated(InstanceList instances) implements SlotAllocatorEvent {}

  /** The periodic timer has expired. */
  record Tick() implements SlotAllocatorEvent {}
}

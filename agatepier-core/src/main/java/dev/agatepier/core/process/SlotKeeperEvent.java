package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;

/** Events of the slot allocator. */
public sealed interface SlotKeeperEvent {

  /**
   * A message of a router, which may be the allocator's own, was received.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record MessageArrived(String router, SlotMessage message) implements SlotKeeperEvent {}

  /**
   * A link to another router was established.
   *
   * @param router the other router
   */
  record RouterLinked(PeerIdentity router) implements SlotKeeperEvent {}

  /**
   * The link to another router was closed. All requests of that router are removed.
   *
   * @param router the other router
   */
  record RouterGone(PeerIdentity router) implements SlotKeeperEvent {}

  /**
   * A router, which may be the allocator's own, has reported whether it is about to stop.
   *
   * @param router instance name of the router
   * @param leaving whether it is about to stop
   */
  record RouterLeaving(String router, boolean leaving) implements SlotKeeperEvent {}

  /**
   * A table version was activated.
   *
   * @param table the table of this version
   */
  record TableInForce(Table table) implements SlotKeeperEvent {}

  /**
   * A version of the instance list was activated.
   *
   * @param instances the list of this version
   */
  record InstancesInForce(InstanceList instances) implements SlotKeeperEvent {}

  /** The periodic timer has expired. */
  record TimePassed() implements SlotKeeperEvent {}
}

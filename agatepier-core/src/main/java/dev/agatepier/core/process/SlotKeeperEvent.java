package dev.agatepier.core.process;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import java.util.Set;

/** Everything that a slot keeper is told. */
public sealed interface SlotKeeperEvent {

  /**
   * A message came from a router, which may be the keeper's own.
   *
   * @param router instance name of the router
   * @param message the message
   */
  record MessageArrived(String router, SlotMessage message) implements SlotKeeperEvent {}

  /**
   * A router is gone, and all it had with it.
   *
   * @param router instance name of the router
   */
  record RouterGone(String router) implements SlotKeeperEvent {}

  /**
   * The data centres whose upstreams the router may keep the slots of.
   *
   * @param dataCentres names of the data centres
   */
  record TerritoryChanged(Set<String> dataCentres) implements SlotKeeperEvent {
    /** Copies the names. */
    public TerritoryChanged {
      dataCentres = Set.copyOf(dataCentres);
    }
  }

  /**
   * A table version is in force from now on.
   *
   * @param table the version
   */
  record TableInForce(Table table) implements SlotKeeperEvent {}

  /**
   * A version of the instance list is in force from now on.
   *
   * @param instances the version
   */
  record InstancesInForce(InstanceList instances) implements SlotKeeperEvent {}

  /** Time has passed. */
  record TimePassed() implements SlotKeeperEvent {}
}

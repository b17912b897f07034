package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.connection.VersionMessage;

/** Classes of messages for the traffic counters of a link. */
public enum MessageClass {
  /** Handshakes and heartbeats. */
  LINK,
  /** Demand, free slots, grants and slot allocation. */
  DEMAND,
  /** Requests and responses. */
  PAYLOAD,
  /** Attempt messages without payload, such as credits, ends and failures. */
  ATTEMPT,
  /** Costs of workspaces and suspicions for the quarantine. */
  COST,
  /** Software versions that began streams. */
  STREAM,
  /** Transfer of table versions and confirmations of the table. */
  TABLE,
  /** Instance lists and known routers. */
  INSTANCES;

  /** Returns whether this is control traffic, which is everything but {@link #PAYLOAD}. */
  public boolean isControl() {
    return this != PAYLOAD;
  }

  /** Returns the class that a message is counted in. */
  public static MessageClass of(LinkMessage message) {
    return switch (message) {
      case LinkMessage.Hello _, LinkMessage.HelloProof _, LinkMessage.Heartbeat _ -> LINK;
      case LinkMessage.DemandUpdate _,
          LinkMessage.FreeSlots _,
          LinkMessage.Grant _,
          LinkMessage.GrantDeclined _,
          SlotMessage _ ->
          DEMAND;
      case AttemptMessage.StartAttempt _,
          AttemptMessage.AttemptHead _,
          AttemptMessage.AttemptContent _ ->
          PAYLOAD;
      case AttemptMessage _ -> ATTEMPT;
      case LinkMessage.CostReport _,
          LinkMessage.CostChanges _,
          LinkMessage.FleetCosts _,
          LinkMessage.DataCentreCosts _,
          LinkMessage.SuspicionReport _,
          LinkMessage.DirectCrashReport _ ->
          COST;
      case StreamMessage _ -> STREAM;
      case VersionMessage.InstancesRequest _,
          VersionMessage.InstancesTransfer _,
          LinkMessage.KnownRouters _ ->
          INSTANCES;
      case VersionMessage _ -> TABLE;
    };
  }
}

package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.AttemptMessage;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.VersionMessage;

/** Kinds of traffic that are counted apart. */
public enum MessageClass {
  /** Setting up links and keeping them. */
  LINK,
  /** Demand and grants. */
  DEMAND,
  /** Requests and answers themselves. */
  PAYLOAD,
  /** Signals about attempts that carry no payload. */
  ATTEMPT,
  /** Costs and suspicions. */
  COST,
  /** Table versions. */
  TABLE,
  /** Instance lists. */
  INSTANCES;

  /** Returns whether the traffic is control and not requests or answers. */
  public boolean isControl() {
    return this != PAYLOAD;
  }

  /** Returns the kind of a message. */
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
          LinkMessage.SuspicionReport _ ->
          COST;
      case VersionMessage.InstancesRequest _,
          VersionMessage.InstancesTransfer _,
          LinkMessage.KnownRouters _ ->
          INSTANCES;
      case VersionMessage _ -> TABLE;
    };
  }
}

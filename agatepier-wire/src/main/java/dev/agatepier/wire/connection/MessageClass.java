package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.SlotMessage;

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
  public boolean control() {
    return this != PAYLOAD;
  }

  /** Returns the kind of a message. */
  public static MessageClass of(LinkMessage message) {
    return switch (message) {
      case LinkMessage.Hello _, LinkMessage.HelloProof _, LinkMessage.Heartbeat _ -> LINK;
      case LinkMessage.DemandUpdate _,
          LinkMessage.SlotsFree _,
          LinkMessage.Grant _,
          LinkMessage.GrantDeclined _,
          SlotMessage _ ->
          DEMAND;
      case LinkMessage.StartAttempt _, LinkMessage.AttemptHead _, LinkMessage.AttemptContent _ ->
          PAYLOAD;
      case LinkMessage.AttemptEnd _,
          LinkMessage.AttemptNotRun _,
          LinkMessage.AttemptFailed _,
          LinkMessage.AttemptCredit _,
          LinkMessage.AttemptWithdrawn _ ->
          ATTEMPT;
      case LinkMessage.CostReport _,
          LinkMessage.CostChanges _,
          LinkMessage.FleetCosts _,
          LinkMessage.DataCentreCosts _,
          LinkMessage.SuspicionReport _ ->
          COST;
      case LinkMessage.ManifestTransfer _,
          LinkMessage.ManifestRequest _,
          LinkMessage.ConfirmationRequest _,
          LinkMessage.ConfirmationTransfer _,
          LinkMessage.PageRequest _,
          LinkMessage.PageTransfer _ ->
          TABLE;
      case LinkMessage.InstancesRequest _,
          LinkMessage.InstancesTransfer _,
          LinkMessage.RoutersKnown _ ->
          INSTANCES;
    };
  }
}

package dev.agatepier.core.connection;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** Every message that crosses a link between two processes of the fleet. */
public sealed interface LinkMessage
    permits LinkMessage.Hello,
        LinkMessage.HelloProof,
        LinkMessage.Heartbeat,
        LinkMessage.DemandUpdate,
        LinkMessage.FreeSlots,
        LinkMessage.Grant,
        LinkMessage.GrantDeclined,
        LinkMessage.CostReport,
        LinkMessage.CostChanges,
        LinkMessage.FleetCosts,
        LinkMessage.DataCentreCosts,
        LinkMessage.SuspicionReport,
        LinkMessage.KnownRouters,
        AttemptMessage,
        VersionMessage,
        SlotMessage {

  /**
   * First message in both directions: who speaks and a challenge to the other side.
   *
   * @param protocolVersion version of the link protocol
   * @param peer identity of the sender
   * @param nonce random challenge, 16 bytes
   */
  record Hello(int protocolVersion, PeerIdentity peer, Bytes nonce) implements LinkMessage {}

  /**
   * Second message in both directions: proof that the sender holds the fleet's shared secret.
   *
   * @param code HMAC-SHA-256 over both hellos, the receiver's nonce first
   */
  record HelloProof(Bytes code) implements LinkMessage {}

  /**
   * Sign of life, sent at a fixed interval.
   *
   * @param tableVersion newest table version the sender has in force; 0 for none
   * @param instancesVersion newest instance list version the sender has; 0 for none
   * @param draining whether the sender takes no new work
   * @param clockMillis sender's own monotonic clock, in milliseconds
   */
  record Heartbeat(long tableVersion, long instancesVersion, boolean draining, long clockMillis)
      implements LinkMessage {}

  /**
   * How much one workspace has waiting at one router.
   *
   * @param workspace workspace with work waiting
   * @param waiting requests waiting; 0 withdraws the demand
   * @param oldestWaitMillis how long the oldest has waited, in milliseconds
   * @param estimatedCost expected cost of the next request, in cost units; 0 when unknown
   */
  record WorkspaceDemand(
      String workspace, int waiting, long oldestWaitMillis, double estimatedCost) {}

  /**
   * Router to sidecar: demand that changed since the last message.
   *
   * @param changes absolute values for the workspaces named; others stay as they were
   */
  record DemandUpdate(List<WorkspaceDemand> changes) implements LinkMessage {
    /** Copies the changes. */
    public DemandUpdate {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Sidecar to router: slots are free and the sidecar knows of no demand.
   *
   * @param freeSlots number of free slots
   */
  record FreeSlots(int freeSlots) implements LinkMessage {}

  /**
   * Sidecar to router: one slot is reserved for one request of a workspace.
   *
   * @param grantNumber number of the grant within the sidecar's incarnation
   * @param workspace workspace whose turn it is
   */
  record Grant(long grantNumber, String workspace) implements LinkMessage {}

  /**
   * Router to sidecar: nothing to run for this grant.
   *
   * @param grantNumber number of the grant
   */
  record GrantDeclined(long grantNumber) implements LinkMessage {}

  /**
   * Cumulative cost of one workspace.
   *
   * @param workspace the workspace
   * @param cost cost received since the sender's incarnation began, in cost units
   */
  record WorkspaceCost(String workspace, double cost) {}

  /**
   * Sidecar to the holder: its own cumulative costs. Loss and repetition are harmless.
   *
   * @param costs absolute values for the workspaces named
   * @param interested workspaces whose fleet-wide sums the sidecar wants
   */
  record CostReport(List<WorkspaceCost> costs, List<String> interested) implements LinkMessage {
    /** Copies the lists. */
    public CostReport {
      costs = List.copyOf(costs);
      interested = List.copyOf(interested);
    }
  }

  /**
   * Sidecar to the holder: what changed since its last {@link CostReport} over the same link.
   *
   * @param costs absolute values for the workspaces named; others stay as they were
   * @param added workspaces whose fleet-wide sums the sidecar wants from now on
   * @param removed workspaces whose sums it wants no longer
   */
  record CostChanges(List<WorkspaceCost> costs, List<String> added, List<String> removed)
      implements LinkMessage {
    /** Copies the lists. */
    public CostChanges {
      costs = List.copyOf(costs);
      added = List.copyOf(added);
      removed = List.copyOf(removed);
    }
  }

  /**
   * Holder to sidecar: cumulative costs everywhere but at the receiver.
   *
   * @param aggregatorIncarnation incarnation of the holder; sums of two holders are not compared
   * @param costs absolute values for the workspaces named
   */
  record FleetCosts(long aggregatorIncarnation, List<WorkspaceCost> costs) implements LinkMessage {
    /** Copies the costs. */
    public FleetCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * Holder to holder: sums of the sender's own data centre.
   *
   * @param service service the sums are of
   * @param costs absolute values for the workspaces named
   */
  record DataCentreCosts(String service, List<WorkspaceCost> costs) implements LinkMessage {
    /** Copies the costs. */
    public DataCentreCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * One death of an upstream while a request ran on it.
   *
   * @param fingerprint the request that was running
   * @param sidecar instance name of the sidecar that saw the death
   * @param incarnation incarnation of that sidecar
   * @param crashNumber number of the death within the incarnation
   * @param exclusive whether the request ran with nothing beside it
   */
  record Suspicion(
      Fingerprint fingerprint,
      String sidecar,
      long incarnation,
      long crashNumber,
      boolean exclusive) {}

  /**
   * Any process to any other: requests that ran while an upstream died.
   *
   * @param suspicions what is known; repetition is harmless
   */
  record SuspicionReport(List<Suspicion> suspicions) implements LinkMessage {
    /** Copies the suspicions. */
    public SuspicionReport {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * Routers that the sender knows, itself among them.
   *
   * @param routers what is known of each
   */
  record KnownRouters(List<Instance> routers) implements LinkMessage {
    /** Copies the routers. */
    public KnownRouters {
      routers = List.copyOf(routers);
    }
  }
}

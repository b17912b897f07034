package dev.agatepier.core.connection;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.version.Instance;
import java.util.List;

/** A message sent over a link between two processes of the fleet. */
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
        LinkMessage.DirectCrashReport,
        LinkMessage.KnownRouters,
        AttemptMessage,
        VersionMessage,
        SlotMessage,
        StreamMessage {

  /**
   * First handshake message in both directions: identity of the sender and a challenge to the
   * receiver.
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
   * Heartbeat, sent at a fixed interval.
   *
   * @param tableVersion active table version of the sender; 0 for none
   * @param instancesVersion newest instance list version that the sender has; 0 for none
   * @param evacuatedRevision revision of the evacuated data centres in that list; 0 for none
   * @param draining whether the sender is draining and accepts no new work
   * @param clockMillis the sender's own monotonic clock, in milliseconds
   */
  record Heartbeat(
      long tableVersion,
      long instancesVersion,
      long evacuatedRevision,
      boolean draining,
      long clockMillis)
      implements LinkMessage {

    /** Creates a heartbeat of a sender that knows of no evacuation. */
    public Heartbeat(long tableVersion, long instancesVersion, boolean draining, long clockMillis) {
      this(tableVersion, instancesVersion, 0, draining, clockMillis);
    }
  }

  /**
   * Demand of one workspace at one router.
   *
   * @param workspace workspace whose requests wait
   * @param waiting number of waiting requests; 0 withdraws the demand
   * @param oldestWaitMillis waiting time of the oldest request, in milliseconds
   * @param estimatedCost expected cost of the next request, in cost units; 0 when unknown
   */
  record WorkspaceDemand(
      String workspace, int waiting, long oldestWaitMillis, double estimatedCost) {}

  /**
   * Router to sidecar: demand that has changed since the last update.
   *
   * @param changes absolute values of the listed workspaces; other workspaces are unchanged
   */
  record DemandUpdate(List<WorkspaceDemand> changes) implements LinkMessage {
    /** Copies the changes. */
    public DemandUpdate {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Sidecar to router: the sidecar has free slots and no demand for them.
   *
   * @param freeSlots number of free slots
   */
  record FreeSlots(int freeSlots) implements LinkMessage {}

  /**
   * Sidecar to router: one slot is reserved for one request of a workspace.
   *
   * @param grantNumber number of the grant within the sidecar's incarnation
   * @param workspace workspace that the scheduler has selected
   */
  record Grant(long grantNumber, String workspace) implements LinkMessage {}

  /**
   * Router to sidecar: declines a grant because the router has no request to run in the slot.
   *
   * @param grantNumber number of the grant
   */
  record GrantDeclined(long grantNumber) implements LinkMessage {}

  /**
   * Cumulative cost of one workspace since the sender started.
   *
   * @param workspace the workspace
   * @param cost cost since the start of the sender's incarnation, in cost units
   */
  record WorkspaceCost(String workspace, double cost) {}

  /**
   * Sidecar to cost aggregator: the sidecar's own cumulative costs. The message is idempotent, and
   * its loss is tolerated.
   *
   * @param costs absolute values of the listed workspaces
   * @param interested workspaces whose fleet-wide totals the sidecar subscribes to
   */
  record CostReport(List<WorkspaceCost> costs, List<String> interested) implements LinkMessage {
    /** Copies the lists. */
    public CostReport {
      costs = List.copyOf(costs);
      interested = List.copyOf(interested);
    }
  }

  /**
   * Sidecar to cost aggregator: what has changed since the last {@link CostReport} on the same
   * link.
   *
   * @param costs absolute values of the listed workspaces; other workspaces are unchanged
   * @param added workspaces whose fleet-wide totals the sidecar subscribes to
   * @param removed workspaces whose totals the sidecar unsubscribes from
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
   * Cost aggregator to sidecar: cumulative costs in the whole fleet except at the receiver.
   *
   * @param aggregatorIncarnation incarnation of the aggregator; totals of different aggregators are
   *     not comparable
   * @param costs absolute values of the listed workspaces
   */
  record FleetCosts(long aggregatorIncarnation, List<WorkspaceCost> costs) implements LinkMessage {
    /** Copies the costs. */
    public FleetCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * Cost aggregator to cost aggregator: cost totals of the sender's own data centre.
   *
   * @param service service that the costs belong to
   * @param costs absolute values of the listed workspaces
   */
  record DataCentreCosts(String service, List<WorkspaceCost> costs) implements LinkMessage {
    /** Copies the costs. */
    public DataCentreCosts {
      costs = List.copyOf(costs);
    }
  }

  /**
   * A crash of an upstream while a request was running on it.
   *
   * @param fingerprint fingerprint of the request that was running, or of a part of its prompt
   * @param sidecar instance name of the sidecar that detected the crash, or name of the upstream if
   *     a router called it directly
   * @param incarnation incarnation of that sidecar or upstream
   * @param crashNumber number of the crash within the incarnation; 0 for an upstream
   * @param exclusive whether no other request was running on the upstream
   */
  record Suspicion(
      Fingerprint fingerprint,
      String sidecar,
      long incarnation,
      long crashNumber,
      boolean exclusive) {}

  /**
   * Any process to any other: requests that were running when an upstream crashed.
   *
   * @param suspicions all suspicions that the sender knows; duplicates are ignored
   */
  record SuspicionReport(List<Suspicion> suspicions) implements LinkMessage {
    /** Copies the suspicions. */
    public SuspicionReport {
      suspicions = List.copyOf(suspicions);
    }
  }

  /**
   * Router to router: what the sender learned from requests that it ran on upstreams itself.
   *
   * @param suspicions fingerprints of requests whose response had not progressed when an upstream
   *     crashed
   * @param late fingerprints of other requests that were running when an upstream crashed
   * @param cleared suspected fingerprints of which a request has completed
   * @param tried quarantined fingerprints of which a request runs on trial now
   */
  record DirectCrashReport(
      List<Suspicion> suspicions,
      List<Suspicion> late,
      List<Fingerprint> cleared,
      List<Fingerprint> tried)
      implements LinkMessage {
    /** Copies the lists. */
    public DirectCrashReport {
      suspicions = List.copyOf(suspicions);
      late = List.copyOf(late);
      cleared = List.copyOf(cleared);
      tried = List.copyOf(tried);
    }

    /** Creates a report without late suspicions and trials. */
    public DirectCrashReport(List<Suspicion> suspicions, List<Fingerprint> cleared) {
      this(suspicions, List.of(), cleared, List.of());
    }
  }

  /**
   * Routers that the sender knows, including itself.
   *
   * @param routers descriptions of the routers
   */
  record KnownRouters(List<Instance> routers) implements LinkMessage {
    /** Copies the routers. */
    public KnownRouters {
      routers = List.copyOf(routers);
    }
  }
}

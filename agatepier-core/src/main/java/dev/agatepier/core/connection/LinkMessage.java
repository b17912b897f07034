package dev.agatepier.core.connection;

import dev.agatepier.core.request.AnswerHead;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;

/** Every message that crosses a link between two processes of the fleet. */
public sealed interface LinkMessage
    permits LinkMessage.Hello,
        LinkMessage.HelloProof,
        LinkMessage.Heartbeat,
        LinkMessage.DemandUpdate,
        LinkMessage.SlotsFree,
        LinkMessage.Grant,
        LinkMessage.GrantDeclined,
        LinkMessage.StartAttempt,
        LinkMessage.AttemptHead,
        LinkMessage.AttemptContent,
        LinkMessage.AttemptEnd,
        LinkMessage.AttemptNotRun,
        LinkMessage.AttemptFailed,
        LinkMessage.AttemptCredit,
        LinkMessage.AttemptWithdrawn,
        LinkMessage.CostReport,
        LinkMessage.CostChanges,
        LinkMessage.FleetCosts,
        LinkMessage.DataCentreCosts,
        LinkMessage.SuspicionReport,
        LinkMessage.ManifestTransfer,
        LinkMessage.ManifestRequest,
        LinkMessage.PageRequest,
        LinkMessage.PageTransfer,
        LinkMessage.ConfirmationRequest,
        LinkMessage.ConfirmationTransfer,
        LinkMessage.InstancesRequest,
        LinkMessage.InstancesTransfer,
        LinkMessage.RoutersKnown,
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
  record SlotsFree(int freeSlots) implements LinkMessage {}

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
   * Router to sidecar: run this request in the slot of the grant.
   *
   * @param grantNumber number of the grant that this answers
   * @param attempt the attempt's name
   * @param workspace workspace of the caller
   * @param head head of the request
   * @param body whole body of the request
   * @param timeLeftMillis time until the deadline, in milliseconds
   * @param idempotent whether running it twice is harmless
   * @param alone whether nothing else may run beside it
   * @param fingerprint recognises resends of the same content
   * @param ticket the ticket, already authenticated, of a call that is made under one
   * @param windowBytes bytes of answer the sidecar may send before it waits for credit
   */
  record StartAttempt(
      long grantNumber,
      AttemptId attempt,
      String workspace,
      CallHead head,
      Bytes body,
      long timeLeftMillis,
      boolean idempotent,
      boolean alone,
      Fingerprint fingerprint,
      Optional<Ticket> ticket,
      long windowBytes)
      implements LinkMessage {}

  /**
   * Sidecar to router: head of the answer.
   *
   * @param attempt the attempt answered
   * @param head status and headers
   */
  record AttemptHead(AttemptId attempt, AnswerHead head) implements LinkMessage {}

  /**
   * Sidecar to router: next part of the answer's body.
   *
   * @param attempt the attempt answered
   * @param frameNumber number of the part, from 0, without gaps
   * @param content the part
   */
  record AttemptContent(AttemptId attempt, int frameNumber, Bytes content) implements LinkMessage {}

  /**
   * Sidecar to router: the answer is whole.
   *
   * @param attempt the attempt answered
   * @param frameCount number of parts sent
   * @param cost final cost, in cost units of the service
   */
  record AttemptEnd(AttemptId attempt, int frameCount, double cost) implements LinkMessage {}

  /**
   * Sidecar to router: the attempt did not run and never will in this incarnation.
   *
   * @param attempt the attempt refused
   * @param reason why
   */
  record AttemptNotRun(AttemptId attempt, Reason reason) implements LinkMessage {}

  /**
   * Sidecar to router: the attempt was handed to the upstream and its answer will not become whole.
   *
   * @param attempt the attempt that failed
   * @param reason why
   */
  record AttemptFailed(AttemptId attempt, Reason reason) implements LinkMessage {}

  /**
   * Router to sidecar: the caller has taken this much more of the answer.
   *
   * @param attempt the attempt answered
   * @param bytes bytes taken since the last credit
   */
  record AttemptCredit(AttemptId attempt, long bytes) implements LinkMessage {}

  /**
   * Router to sidecar: never start this attempt; if it runs, stop it. Answered by {@link
   * AttemptNotRun} or {@link AttemptFailed}.
   *
   * @param attempt the attempt withdrawn
   */
  record AttemptWithdrawn(AttemptId attempt) implements LinkMessage {}

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
   * @param holderIncarnation incarnation of the holder; sums of two holders are not compared
   * @param costs absolute values for the workspaces named
   */
  record FleetCosts(long holderIncarnation, List<WorkspaceCost> costs) implements LinkMessage {
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
   * @param deathNumber number of the death within the incarnation
   * @param alone whether the request ran with nothing beside it
   */
  record Suspicion(
      Fingerprint fingerprint, String sidecar, long incarnation, long deathNumber, boolean alone) {}

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
   * One page of a published table version.
   *
   * @param name name of the page at the platform
   * @param digest lower-case hexadecimal SHA-256 of its content
   * @param size size in bytes
   */
  record PageReference(String name, String digest, int size) {}

  /**
   * A peer tells what a table version consists of.
   *
   * @param version the table version
   * @param pages its pages, workspaces first, services last
   */
  record ManifestTransfer(long version, List<PageReference> pages) implements LinkMessage {
    /** Copies the pages. */
    public ManifestTransfer {
      pages = List.copyOf(pages);
    }
  }

  /**
   * Asks a peer for the manifest of its newest table version.
   *
   * @param knownVersion version that the sender has in force; 0 for none
   */
  record ManifestRequest(long knownVersion) implements LinkMessage {}

  /**
   * Asks a peer for a page.
   *
   * @param digest digest of the page's content
   */
  record PageRequest(String digest) implements LinkMessage {}

  /**
   * Answers a {@link PageRequest}.
   *
   * @param digest digest of the content
   * @param content the page; empty if the sender does not have it
   */
  record PageTransfer(String digest, Bytes content) implements LinkMessage {}

  /**
   * Asks a peer how lately its table was confirmed to be the newest.
   *
   * @param number number of the question
   */
  record ConfirmationRequest(long number) implements LinkMessage {}

  /**
   * Answers a {@link ConfirmationRequest}.
   *
   * @param number number of the question
   * @param version table version that was confirmed; 0 if the sender knows of no lasting one
   * @param ageMillis time from before the read that confirmed it to the question's arrival, in
   *     milliseconds
   */
  record ConfirmationTransfer(long number, long version, long ageMillis) implements LinkMessage {}

  /**
   * Asks a peer for its newest instance list.
   *
   * @param knownVersion version that the sender has; 0 for none
   */
  record InstancesRequest(long knownVersion) implements LinkMessage {}

  /**
   * Answers an {@link InstancesRequest} when the sender has a newer list.
   *
   * @param version version of the list
   * @param instances the whole list of instances
   * @param upstreams the whole list of upstreams
   */
  record InstancesTransfer(long version, List<Instance> instances, List<Upstream> upstreams)
      implements LinkMessage {
    /** Copies the lists. */
    public InstancesTransfer {
      instances = List.copyOf(instances);
      upstreams = List.copyOf(upstreams);
    }
  }

  /**
   * Routers that the sender knows, itself among them.
   *
   * @param routers what is known of each
   */
  record RoutersKnown(List<Instance> routers) implements LinkMessage {
    /** Copies the routers. */
    public RoutersKnown {
      routers = List.copyOf(routers);
    }
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.process.internal.CoalescedRead;
import dev.agatepier.core.process.internal.EvacuationReport;
import dev.agatepier.core.process.internal.InstanceFollower;
import dev.agatepier.core.process.internal.PlatformReaders;
import dev.agatepier.core.process.internal.ReadSchedule;
import dev.agatepier.core.process.internal.TableFollower;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the versions of the table and the instance list. A few processes of each data centre watch
 * the platform, the others receive new versions from their peers. A version is never replaced by an
 * older one.
 */
public final class VersionDecision implements Decision<VersionEvent, VersionEffect> {

  /** Source of pages read from the platform. No instance has an empty name. */
  public static final String PLATFORM = "";

  private final PlatformReaders readers;
  private final InstanceFollower instances;
  private final List<VersionEffect> effects = new ArrayList<>();
  private final TableFollower table;
  private final EvacuationReport evacuations = new EvacuationReport();
  private final CoalescedRead upstreamReads = new CoalescedRead();

  /**
   * Creates the decision of a process that has neither table nor instance list.
   *
   * @param instance name of this instance
   * @param dataCentre data centre of this instance
   * @param policy settings
   */
  public VersionDecision(String instance, String dataCentre, VersionPolicy policy) {
    readers = new PlatformReaders(instance, dataCentre, policy.readersPerDataCentre());
    instances = new InstanceFollower(policy);
    table = new TableFollower(policy, effects::add);
  }

  /** Returns the active table. */
  public Table table() {
    return table.table();
  }

  /** Returns the active instance list. */
  public InstanceList instances() {
    return instances.list();
  }

  @Override
  public List<VersionEffect> decide(VersionEvent event, long nowNanos) {
    table.startColdStart(nowNanos);
    switch (event) {
      case VersionEvent.PeerConnected(PeerIdentity peer) -> readers.onPeerConnected(peer);
      case VersionEvent.PeerDisconnected(PeerIdentity peer) -> {
        readers.onPeerDisconnected(peer);
        table.onPeerDisconnected(peer.instance(), nowNanos);
      }
      case VersionEvent.MessageReceived received -> onMessage(received, nowNanos);
      case VersionEvent.PageReceived page -> table.onPageReceived(page, nowNanos);
      case VersionEvent.ManifestRead read ->
          table.onManifestRead(read, isPlatformReader(nowNanos), nowNanos);
      case VersionEvent.InstancesRead(
              InstanceList list,
              double jitter,
              ReadTimestamp startedAt) -> {
        acceptInstances(instances.onRead(list, jitter, nowNanos), PLATFORM, nowNanos);
        if (list.hasSameEntries(instances())) {
          confirmInstances(startedAt);
        }
        table.reads().recordPlatformReachable(nowNanos);
      }
      case VersionEvent.PlatformUnchanged(PlatformSubject subject, ReadTimestamp startedAt) ->
          onPlatformUnchanged(subject, startedAt, nowNanos);
      case VersionEvent.ReadFailed(PlatformSubject subject, double jitter) ->
          schedule(subject).recordFailure(jitter, nowNanos);
      case VersionEvent.UpstreamsWanted _ -> readUpstreamsIf(upstreamReads.request(nowNanos));
      case VersionEvent.UpstreamsRead(List<Upstream> upstreams, ReadTimestamp startedAt) -> {
        effects.add(new VersionEffect.ReportUpstreams(upstreams, startedAt));
        upstreamReads.complete();
      }
      case VersionEvent.UpstreamsReadFailed(ReadTimestamp startedAt) -> {
        effects.add(new VersionEffect.ReportUpstreamsUnknown(startedAt));
        upstreamReads.complete();
      }
      case VersionEvent.TablePrepared(ManifestTransfer manifest, Table prepared) ->
          table.onTablePrepared(manifest, prepared);
      case VersionEvent.TableRefused refused -> table.onTableRefused(refused);
      case VersionEvent.Tick(double jitter, ReadTimestamp now) -> {
        onTick(jitter, nowNanos);
        readUpstreamsIf(upstreamReads.startIfDue(nowNanos));
        table.requestConfirmation(readers::peersByRank, now, nowNanos);
      }
    }
    table.activatePrepared(nowNanos);
    List<VersionEffect> result = List.copyOf(effects);
    effects.clear();
    return result;
  }

  private void readUpstreamsIf(boolean start) {
    if (start) {
      effects.add(new VersionEffect.ReadUpstreams());
    }
  }

  private void onMessage(VersionEvent.MessageReceived received, long nowNanos) {
    String sender = received.peer().instance();
    switch (received.message()) {
      case LinkMessage.Heartbeat heartbeat -> onHeartbeat(sender, heartbeat, nowNanos);
      case VersionMessage.ManifestRequest(long known) -> table.onManifestRequest(sender, known);
      case ManifestTransfer manifest -> table.onManifestTransfer(sender, manifest, nowNanos);
      case VersionMessage.PageRequest(String digest) -> table.onPageRequest(sender, digest);
      case VersionMessage.ConfirmationRequest request ->
          table.onConfirmationRequest(
              sender, request, instances().evacuatedRevision(), received.receivedAt());
      case VersionMessage.ConfirmationTransfer confirmation -> onConfirmationTransfer(confirmation);
      case VersionMessage.InstancesRequest known ->
          instances
              .newerThan(known)
              .ifPresent(list -> effects.add(new VersionEffect.Send(sender, list)));
      case VersionMessage.InstancesTransfer(InstanceList list) ->
          acceptInstances(instances.accept(list, nowNanos), sender, nowNanos);
      default -> {
        // Other decisions handle the other messages. Pages arrive as PageReceived events.
      }
    }
  }

  private void onHeartbeat(String sender, LinkMessage.Heartbeat heartbeat, long nowNanos) {
    readers.setDraining(sender, heartbeat.draining());
    table.onVersionOffered(sender, heartbeat.tableVersion(), nowNanos);
    if (instances.shouldRequest(heartbeat, nowNanos)) {
      effects.add(new VersionEffect.Send(sender, instances.request()));
    }
  }

  /**
   * Handles a peer's confirmation of the table. The peer's read also confirmed which data centres
   * are evacuated, so it counts only once that is known here too.
   */
  private void onConfirmationTransfer(VersionMessage.ConfirmationTransfer confirmation) {
    if (confirmation.evacuatedRevision() <= instances().evacuatedRevision()) {
      table.onConfirmationTransfer(confirmation);
    }
  }

  private void onPlatformUnchanged(
      PlatformSubject subject, ReadTimestamp startedAt, long nowNanos) {
    if (subject == PlatformSubject.TABLE) {
      table.onPlatformUnchanged(startedAt);
    } else {
      confirmInstances(startedAt);
    }
    schedule(subject).recordSuccess(nowNanos);
    schedule(subject).resetBackoff();
    schedule(other(subject)).recordPlatformReachable(nowNanos);
  }

  private void acceptInstances(Optional<InstanceList> newer, String source, long nowNanos) {
    newer.ifPresent(
        list -> {
          readers.setInstances(list.instances());
          effects.addAll(evacuations.update(list.evacuated(), source, nowNanos));
          effects.add(new VersionEffect.PublishInstances(list));
        });
  }

  private void confirmInstances(ReadTimestamp readStarted) {
    if (readStarted.isKnown()) {
      effects.add(new VersionEffect.ConfirmInstances(readStarted));
    }
  }

  private void onTick(double jitter, long nowNanos) {
    table.onTick(jitter, nowNanos);
    boolean platformReader = isPlatformReader(nowNanos);
    long known = instances().version();
    if ((platformReader || known == 0) && instances.due(jitter, nowNanos)) {
      effects.add(
          instances.reads().read(PlatformSubject.INSTANCES, known, platformReader, nowNanos));
    }
    table.readIfDue(platformReader, jitter, nowNanos);
  }

  private ReadSchedule schedule(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? table.reads() : instances.reads();
  }

  private static PlatformSubject other(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? PlatformSubject.INSTANCES : PlatformSubject.TABLE;
  }

  /** Returns whether this process watches the platform; false until it has an instance list. */
  private boolean isPlatformReader(long nowNanos) {
    return instances().version() > 0 && readers.isReader(instances.settled(nowNanos));
  }
}

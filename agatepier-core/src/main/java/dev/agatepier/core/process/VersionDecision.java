package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.process.internal.InstanceFollower;
import dev.agatepier.core.process.internal.PlatformReaders;
import dev.agatepier.core.process.internal.ReadSchedule;
import dev.agatepier.core.process.internal.TableFollower;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Follows table and instance list. A few processes of each data centre watch the platform, the
 * others take new versions from linked peers. Versions only rise.
 */
public final class VersionDecision implements Decision<VersionEvent, VersionEffect> {

  /** Source of pages that the platform gave; no instance has an empty name. */
  public static final String PLATFORM = "";

  private final PlatformReaders readers;
  private final InstanceFollower instances;
  private final List<VersionEffect> effects = new ArrayList<>();
  private final TableFollower table;

  /**
   * Creates the decision of a process that has just started.
   *
   * @param instance name of the own instance
   * @param dataCentre own data centre
   * @param policy what operators set
   */
  public VersionDecision(String instance, String dataCentre, VersionPolicy policy) {
    readers = new PlatformReaders(instance, dataCentre, policy.readersPerDataCentre());
    instances = new InstanceFollower(policy);
    table = new TableFollower(policy, effects::add);
  }

  /** Returns the table in force. */
  public Table table() {
    return table.table();
  }

  /** Returns the instance list in force. */
  public InstanceList instances() {
    return instances.list();
  }

  @Override
  public List<VersionEffect> decide(VersionEvent event, long nowNanos) {
    table.begin(nowNanos);
    switch (event) {
      case VersionEvent.PeerConnected(PeerIdentity peer) -> readers.link(peer);
      case VersionEvent.PeerDisconnected(PeerIdentity peer) -> {
        readers.unlink(peer);
        table.onPeerDisconnected(peer.instance(), nowNanos);
      }
      case VersionEvent.MessageArrived arrived -> receive(arrived, nowNanos);
      case VersionEvent.PageArrived arrived -> table.onPageArrived(arrived, nowNanos);
      case VersionEvent.ManifestRead read -> table.onManifestRead(read, reader(nowNanos), nowNanos);
      case VersionEvent.InstancesRead(InstanceList list, double jitter) -> {
        takeInstances(instances.onRead(list, jitter, nowNanos));
        table.reads().recordPlatformReachable(nowNanos);
      }
      case VersionEvent.PlatformUnchanged(PlatformSubject subject, ReadTimestamp begun) ->
          nothingNew(subject, begun, nowNanos);
      case VersionEvent.ReadFailed(PlatformSubject subject, double jitter) ->
          schedule(subject).recordFailure(jitter, nowNanos);
      case VersionEvent.TablePrepared(ManifestTransfer manifest, Table whole) ->
          table.onPrepared(manifest, whole);
      case VersionEvent.TableRefused refused -> table.onRefused(refused);
      case VersionEvent.TimePassed(double jitter, ReadTimestamp now) -> {
        passTime(jitter, nowNanos);
        table.requestConfirmation(readers::peersByRank, now, nowNanos);
      }
    }
    table.activatePrepared(nowNanos);
    List<VersionEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }

  private void receive(VersionEvent.MessageArrived arrived, long nowNanos) {
    String sender = arrived.peer().instance();
    switch (arrived.message()) {
      case LinkMessage.Heartbeat heartbeat -> hearHeartbeat(sender, heartbeat, nowNanos);
      case VersionMessage.ManifestRequest(long known) -> table.onManifestRequest(sender, known);
      case ManifestTransfer manifest -> table.onManifestTransfer(sender, manifest, nowNanos);
      case VersionMessage.PageRequest(String digest) -> table.onPageRequest(sender, digest);
      case VersionMessage.ConfirmationRequest request ->
          table.onConfirmationRequest(sender, request, arrived.receivedAt());
      case VersionMessage.ConfirmationTransfer answer -> table.onConfirmationTransfer(answer);
      case VersionMessage.InstancesRequest(long known) ->
          instances
              .newerThan(known)
              .ifPresent(list -> effects.add(new VersionEffect.Send(sender, list)));
      case VersionMessage.InstancesTransfer(long version, var list, var upstreams) ->
          takeInstances(instances.accept(new InstanceList(version, list, upstreams), nowNanos));
      default -> {
        // Other messages concern other decisions; pages come as events of their own.
      }
    }
  }

  private void hearHeartbeat(String sender, LinkMessage.Heartbeat heartbeat, long nowNanos) {
    readers.setDraining(sender, heartbeat.draining());
    table.onVersionOffered(sender, heartbeat.tableVersion(), nowNanos);
    if (instances.shouldRequest(heartbeat.instancesVersion(), nowNanos)) {
      effects.add(
          new VersionEffect.Send(
              sender, new VersionMessage.InstancesRequest(instances().version())));
    }
  }

  private void nothingNew(PlatformSubject subject, ReadTimestamp begun, long nowNanos) {
    if (subject == PlatformSubject.TABLE) {
      table.onPlatformUnchanged(begun);
    }
    schedule(subject).recordSuccess(nowNanos);
    schedule(subject).resetBackoff();
    schedule(other(subject)).recordPlatformReachable(nowNanos);
  }

  private void takeInstances(Optional<InstanceList> newer) {
    newer.ifPresent(
        list -> {
          readers.setInstances(list.instances());
          effects.add(new VersionEffect.PublishInstances(list));
        });
  }

  private void passTime(double jitter, long nowNanos) {
    table.onTimePassed(jitter, nowNanos);
    boolean reader = reader(nowNanos);
    long known = instances().version();
    if ((reader || known == 0) && instances.due(jitter, nowNanos)) {
      effects.add(instances.reads().read(PlatformSubject.INSTANCES, known, reader, nowNanos));
    }
    table.readIfDue(reader, jitter, nowNanos);
  }

  private ReadSchedule schedule(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? table.reads() : instances.reads();
  }

  private static PlatformSubject other(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? PlatformSubject.INSTANCES : PlatformSubject.TABLE;
  }

  /** Returns whether this process watches the platform; none does before it knows the others. */
  private boolean reader(long nowNanos) {
    return instances().version() > 0 && readers.isReader(instances.settled(nowNanos));
  }
}

package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.process.internal.ColdStart;
import dev.agatepier.core.process.internal.Confirmations;
import dev.agatepier.core.process.internal.InstanceFollower;
import dev.agatepier.core.process.internal.PageStore;
import dev.agatepier.core.process.internal.PlatformReaders;
import dev.agatepier.core.process.internal.Question;
import dev.agatepier.core.process.internal.ReadSchedule;
import dev.agatepier.core.process.internal.Refusals;
import dev.agatepier.core.process.internal.TableTransfer;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadMark;
import dev.agatepier.core.version.Table;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Follows table and instance list. A few processes of each data centre watch the platform, the
 * others take new versions from linked peers. Versions only rise.
 */
public final class VersionDecision implements Decision<VersionEvent, VersionEffect> {

  /** Source of pages that the platform gave; no instance has an empty name. */
  public static final String PLATFORM = "";

  private final VersionPolicy policy;
  private final PlatformReaders readers;
  private final ReadSchedule tableReads;
  private final InstanceFollower instances;
  private final ColdStart coldStart;
  private final Refusals refusals = new Refusals();
  private final Question manifestQuestion;
  private final PageStore pages = new PageStore();
  private final Confirmations confirmations;

  private ManifestTransfer inForce = new ManifestTransfer(0, List.of());
  private Table table = Table.NONE;
  private TableTransfer transfer;
  private ManifestTransfer preparedManifest = inForce;
  private Table prepared = Table.NONE;
  private double latestJitter;

  private List<VersionEffect> effects = new ArrayList<>();

  /**
   * Creates the decision of a process that has just started.
   *
   * @param instance name of the own instance
   * @param dataCentre own data centre
   * @param policy what operators set
   */
  public VersionDecision(String instance, String dataCentre, VersionPolicy policy) {
    this.policy = policy;
    readers = new PlatformReaders(instance, dataCentre, policy.readersPerDataCentre());
    tableReads = new ReadSchedule(policy);
    instances = new InstanceFollower(policy);
    confirmations = new Confirmations(policy.leaseMillis());
    manifestQuestion = new Question(transferNanos());
    coldStart = new ColdStart(TimeUnit.MILLISECONDS.toNanos(policy.coldStartMillis()));
  }

  /** Returns the table in force. */
  public Table table() {
    return table;
  }

  /** Returns the instance list in force. */
  public InstanceList instances() {
    return instances.list();
  }

  @Override
  public List<VersionEffect> decide(VersionEvent event, long nowNanos) {
    effects = new ArrayList<>();
    coldStart.begin(nowNanos);
    switch (event) {
      case VersionEvent.PeerLinked(PeerIdentity peer) -> readers.link(peer);
      case VersionEvent.PeerUnlinked(PeerIdentity peer) -> unlink(peer, nowNanos);
      case VersionEvent.MessageArrived arrived -> receive(arrived, nowNanos);
      case VersionEvent.PageArrived arrived -> takePage(arrived, nowNanos);
      case VersionEvent.ManifestRead read -> takePlatformManifest(read, nowNanos);
      case VersionEvent.InstancesRead(InstanceList list, double jitter) -> {
        takeInstances(instances.read(list, jitter, nowNanos));
        tableReads.platformAnswers(nowNanos);
      }
      case VersionEvent.NothingNew(PlatformSubject subject, ReadMark begun) ->
          nothingNew(subject, begun, nowNanos);
      case VersionEvent.ReadFailed(PlatformSubject subject, double jitter) ->
          schedule(subject).failed(jitter, nowNanos);
      case VersionEvent.TablePrepared(ManifestTransfer manifest, Table whole) ->
          takePrepared(manifest, whole);
      case VersionEvent.TableRefused refused -> refuse(refused);
      case VersionEvent.TimePassed(double jitter, ReadMark now) -> {
        passTime(jitter, nowNanos);
        askForConfirmation(now, nowNanos);
      }
    }
    publishTrusted(nowNanos);
    return effects;
  }

  private void unlink(PeerIdentity peer, long nowNanos) {
    readers.unlink(peer);
    if (transfer != null && transfer.source().equals(peer.instance())) {
      abandonTransfer(nowNanos);
    }
  }

  private void receive(VersionEvent.MessageArrived arrived, long nowNanos) {
    String sender = arrived.peer().instance();
    switch (arrived.message()) {
      case LinkMessage.Heartbeat heartbeat -> hearHeartbeat(sender, heartbeat, nowNanos);
      case VersionMessage.ManifestRequest(long known) -> {
        if (inForce.version() > known) {
          send(sender, inForce);
        }
      }
      case ManifestTransfer manifest -> {
        manifestQuestion.answered();
        beginTransfer(manifest, sender, nowNanos);
      }
      case VersionMessage.PageRequest(String digest) -> sendPage(sender, digest);
      case VersionMessage.InstancesRequest(long known) ->
          instances.newerThan(known).ifPresent(transfer -> send(sender, transfer));
      case VersionMessage.InstancesTransfer(long version, var list, var upstreams) ->
          takeInstances(instances.take(new InstanceList(version, list, upstreams), nowNanos));
      case VersionMessage.ConfirmationRequest request ->
          send(sender, confirmations.answer(request, table.version(), arrived.arrived()));
      case VersionMessage.ConfirmationTransfer answer ->
          confirm(confirmations.answered(answer, table.version()));
      default -> {}
    }
  }

  private void askForConfirmation(ReadMark now, long nowNanos) {
    if (policy.leaseMillis() > 0 && table.version() > 0) {
      confirmations
          .peerToAsk(readers.peersByRank(), now, nowNanos)
          .ifPresent(peer -> send(peer, confirmations.request()));
    }
  }

  private void confirm(Optional<ReadMark> begun) {
    begun.ifPresent(mark -> effects.add(new VersionEffect.ConfirmTable(mark)));
  }

  private void hearHeartbeat(String sender, LinkMessage.Heartbeat heartbeat, long nowNanos) {
    readers.draining(sender, heartbeat.draining());
    coldStart.heardPeer(heartbeat.tableVersion());
    long offered = heartbeat.tableVersion();
    if (offered > newestKnown() && !refusals.contains(offered) && manifestQuestion.ask(nowNanos)) {
      send(sender, new VersionMessage.ManifestRequest(inForce.version()));
    }
    if (instances.wants(heartbeat.instancesVersion(), nowNanos)) {
      send(sender, new VersionMessage.InstancesRequest(instances().version()));
    }
  }

  /** Returns the highest version in force, prepared, or on its way. */
  private long newestKnown() {
    long onItsWay = transfer == null ? 0 : transfer.manifest().version();
    return Math.max(onItsWay, preparedManifest.version());
  }

  private void beginTransfer(ManifestTransfer manifest, String source, long nowNanos) {
    if (manifest.version() <= newestKnown() || refusals.contains(manifest)) {
      return;
    }
    transfer = new TableTransfer(manifest, source, transferNanos());
    dropUnusedPages();
    continueTransfer(nowNanos);
  }

  private void continueTransfer(long nowNanos) {
    Optional<PageReference> missing = transfer.next(pages, nowNanos);
    if (missing.isEmpty()) {
      effects.add(
          new VersionEffect.PrepareTable(transfer.manifest(), pages.content(transfer.manifest())));
    } else if (transfer.source().equals(PLATFORM)) {
      effects.add(new VersionEffect.ReadPage(missing.get()));
    } else {
      send(transfer.source(), new VersionMessage.PageRequest(missing.get().digest()));
    }
  }

  private void takePage(VersionEvent.PageArrived arrived, long nowNanos) {
    if (transfer == null || !transfer.asked(arrived.source(), arrived.digest())) {
      return;
    }
    if (arrived.content().isEmpty()) {
      abandonTransfer(nowNanos);
      return;
    }
    pages.put(arrived.digest(), arrived.content().get());
    continueTransfer(nowNanos);
  }

  private void abandonTransfer(long nowNanos) {
    if (transfer.source().equals(PLATFORM)) {
      tableReads.failed(latestJitter, nowNanos);
    }
    transfer = null;
  }

  private void takePlatformManifest(VersionEvent.ManifestRead read, long nowNanos) {
    coldStart.heardPlatform();
    ManifestTransfer manifest = read.manifest();
    final boolean useful = manifest.version() > newestKnown() && !refusals.contains(manifest);
    confirm(confirmations.told(manifest.version(), table.version(), read.begun()));
    if (useful && (reader(nowNanos) || coldStart.overdue(nowNanos))) {
      tableReads.answered(nowNanos);
      beginTransfer(manifest, PLATFORM, nowNanos);
    } else {
      tableReads.failed(read.jitter(), nowNanos);
    }
  }

  private void nothingNew(PlatformSubject subject, ReadMark begun, long nowNanos) {
    if (subject == PlatformSubject.TABLE) {
      coldStart.heardPlatform();
      confirm(confirmations.told(watchedVersion(), table.version(), begun));
    }
    schedule(subject).answered(nowNanos);
    schedule(subject).reset();
    schedule(other(subject)).platformAnswers(nowNanos);
  }

  private void takePrepared(ManifestTransfer manifest, Table whole) {
    endTransfer(manifest);
    tableReads.reset();
    if (manifest.version() > preparedManifest.version()) {
      preparedManifest = manifest;
      prepared = whole;
    }
  }

  private void refuse(VersionEvent.TableRefused refused) {
    endTransfer(refused.manifest());
    refusals.add(refused.manifest());
    dropUnusedPages();
    effects.add(new VersionEffect.ReportRefusal(refused.manifest().version(), refused.mistakes()));
  }

  private void endTransfer(ManifestTransfer manifest) {
    if (transfer != null && transfer.manifest().equals(manifest)) {
      transfer = null;
    }
  }

  private void publishTrusted(long nowNanos) {
    boolean first = table.version() == 0;
    if (prepared.version() <= table.version()
        || (first && !coldStart.trusts(prepared.version(), nowNanos))) {
      return;
    }
    table = prepared;
    inForce = preparedManifest;
    dropUnusedPages();
    effects.add(new VersionEffect.PublishTable(table));
    confirm(confirmations.inForce(table.version()));
  }

  private void dropUnusedPages() {
    ManifestTransfer onItsWay = transfer == null ? inForce : transfer.manifest();
    pages.retain(List.of(inForce, preparedManifest, onItsWay));
  }

  private void takeInstances(Optional<InstanceList> newer) {
    newer.ifPresent(
        list -> {
          readers.list(list.instances());
          effects.add(new VersionEffect.PublishInstances(list));
        });
  }

  private void passTime(double jitter, long nowNanos) {
    latestJitter = jitter;
    if (transfer != null && transfer.overdue(nowNanos)) {
      abandonTransfer(nowNanos);
    }
    boolean reader = reader(nowNanos);
    if ((reader || instances().version() == 0) && instances.due(jitter, nowNanos)) {
      read(PlatformSubject.INSTANCES, instances().version(), reader, nowNanos);
    }
    boolean wanted = reader || (table.version() == 0 && coldStart.wantsPlatform(nowNanos));
    if (wanted && transfer == null && tableReads.due(jitter, nowNanos)) {
      read(PlatformSubject.TABLE, watchedVersion(), reader, nowNanos);
    }
  }

  /** Returns the version that the platform has to exceed; refused ones are not read again. */
  private long watchedVersion() {
    return Math.max(preparedManifest.version(), refusals.highest());
  }

  private void read(PlatformSubject subject, long known, boolean watch, long nowNanos) {
    int waitSeconds = watch && known > 0 ? policy.watchSeconds() : 0;
    schedule(subject).begin(waitSeconds, nowNanos);
    effects.add(new VersionEffect.ReadPlatform(subject, known, waitSeconds));
  }

  private ReadSchedule schedule(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? tableReads : instances.reads();
  }

  private static PlatformSubject other(PlatformSubject subject) {
    return subject == PlatformSubject.TABLE ? PlatformSubject.INSTANCES : PlatformSubject.TABLE;
  }

  /** Returns whether this process watches the platform; none does before it knows the others. */
  private boolean reader(long nowNanos) {
    return instances().version() > 0 && readers.chosen(instances.settled(nowNanos));
  }

  private void sendPage(String receiver, String digest) {
    send(receiver, new VersionMessage.PageTransfer(digest, pages.get(digest)));
  }

  private void send(String instance, LinkMessage message) {
    effects.add(new VersionEffect.Send(instance, message));
  }

  private long transferNanos() {
    return TimeUnit.MILLISECONDS.toNanos(policy.transferMillis());
  }
}

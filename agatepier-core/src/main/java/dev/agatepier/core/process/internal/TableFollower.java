package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.connection.VersionMessage.ManifestRequest;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.connection.VersionMessage.PageRequest;
import dev.agatepier.core.connection.VersionMessage.PageTransfer;
import dev.agatepier.core.process.PlatformSubject;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionEffect;
import dev.agatepier.core.process.VersionEvent;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Brings newer versions of the table into force: manifest and pages from the platform or a peer,
 * checked as a whole. Versions only rise.
 */
public final class TableFollower {

  private final VersionPolicy policy;
  private final Consumer<VersionEffect> effects;
  private final ReadSchedule reads;
  private final ColdStart coldStart;
  private final OutstandingRequest manifestQuestion;
  private final Confirmations confirmations;
  private final RefusedManifests refusals = new RefusedManifests();
  private final PageStore pages = new PageStore();

  private ManifestTransfer inForce = new ManifestTransfer(0, List.of());
  private Table table = Table.NONE;
  private TableTransfer transfer;
  private ManifestTransfer preparedManifest = inForce;
  private Table prepared = Table.NONE;
  private double latestJitter;

  /**
   * Creates the follower of a process that has no table.
   *
   * @param policy what operators set
   * @param effects takes what is to be done
   */
  public TableFollower(VersionPolicy policy, Consumer<VersionEffect> effects) {
    this.policy = policy;
    this.effects = effects;
    reads = new ReadSchedule(policy);
    coldStart = new ColdStart(TimeUnit.MILLISECONDS.toNanos(policy.coldStartMillis()));
    manifestQuestion = new OutstandingRequest(transferNanos());
    confirmations = new Confirmations(policy.leaseMillis());
  }

  /** Returns the table in force. */
  public Table table() {
    return table;
  }

  /** Returns when the platform's manifest may be read. */
  public ReadSchedule reads() {
    return reads;
  }

  /** Begins to count the time without memory, at the first event. */
  public void begin(long nowNanos) {
    coldStart.begin(nowNanos);
  }

  /** Gives up what a peer was to send, whose link is gone. */
  public void onPeerDisconnected(String instance, long nowNanos) {
    if (transfer != null && transfer.source().equals(instance)) {
      abandonTransfer(nowNanos);
    }
  }

  /** Notes the version that a peer has in force; asks for its manifest if that is news. */
  public void onVersionOffered(String peer, long version, long nowNanos) {
    coldStart.recordPeerVersion(version);
    if (version > newestKnown()
        && !refusals.contains(version)
        && manifestQuestion.trySend(nowNanos)) {
      send(peer, new ManifestRequest(inForce.version()));
    }
  }

  /** Answers a peer that asked for the manifest. */
  public void onManifestRequest(String peer, long knownVersion) {
    if (inForce.version() > knownVersion) {
      send(peer, inForce);
    }
  }

  /** Takes a peer's manifest. */
  public void onManifestTransfer(String peer, ManifestTransfer manifest, long nowNanos) {
    manifestQuestion.complete();
    beginTransfer(manifest, peer, nowNanos);
  }

  /** Answers a peer that asked for a page. */
  public void onPageRequest(String peer, String digest) {
    send(peer, new PageTransfer(digest, pages.get(digest)));
  }

  /** Takes a page, or the word that its source does not have it. */
  public void onPageArrived(VersionEvent.PageArrived arrived, long nowNanos) {
    if (transfer == null || !transfer.isRequested(arrived.source(), arrived.digest())) {
      return;
    }
    if (arrived.content().isEmpty()) {
      abandonTransfer(nowNanos);
      return;
    }
    pages.put(arrived.digest(), arrived.content().get());
    continueTransfer(nowNanos);
  }

  /**
   * Takes the platform's manifest.
   *
   * @param reader whether this process is one of those that read the platform
   */
  public void onManifestRead(VersionEvent.ManifestRead read, boolean reader, long nowNanos) {
    coldStart.recordPlatformResponse();
    ManifestTransfer manifest = read.manifest();
    final boolean useful = manifest.version() > newestKnown() && !refusals.contains(manifest);
    confirm(confirmations.recordNewest(manifest.version(), table.version(), read.startedAt()));
    if (useful && (reader || coldStart.overdue(nowNanos))) {
      reads.recordSuccess(nowNanos);
      beginTransfer(manifest, VersionDecision.PLATFORM, nowNanos);
    } else {
      reads.recordFailure(read.jitter(), nowNanos);
    }
  }

  /** Takes the platform's word that nothing is newer than what is watched. */
  public void onPlatformUnchanged(ReadTimestamp begun) {
    coldStart.recordPlatformResponse();
    confirm(confirmations.recordNewest(watchedVersion(), table.version(), begun));
  }

  /** Takes a table that was found sound. */
  public void onPrepared(ManifestTransfer manifest, Table whole) {
    endTransfer(manifest);
    reads.resetBackoff();
    if (manifest.version() > preparedManifest.version()) {
      preparedManifest = manifest;
      prepared = whole;
    }
  }

  /** Takes the word that a table is not sound; its version is not fetched again. */
  public void onRefused(VersionEvent.TableRefused refused) {
    endTransfer(refused.manifest());
    refusals.add(refused.manifest());
    dropUnusedPages();
    effects.accept(
        new VersionEffect.ReportRefusal(refused.manifest().version(), refused.mistakes()));
  }

  /** Puts the newest sound version in force, once it may be trusted to be no old one. */
  public void activatePrepared(long nowNanos) {
    boolean first = table.version() == 0;
    if (prepared.version() <= table.version()
        || (first && !coldStart.mayActivate(prepared.version(), nowNanos))) {
      return;
    }
    table = prepared;
    inForce = preparedManifest;
    dropUnusedPages();
    effects.accept(new VersionEffect.PublishTable(table));
    confirm(confirmations.onActivated(table.version()));
  }

  /** Gives up a transfer that takes too long. */
  public void onTimePassed(double jitter, long nowNanos) {
    latestJitter = jitter;
    if (transfer != null && transfer.overdue(nowNanos)) {
      abandonTransfer(nowNanos);
    }
  }

  /** Reads the platform's manifest, if this process should and may. */
  public void readIfDue(boolean reader, double jitter, long nowNanos) {
    boolean wanted = reader || (table.version() == 0 && coldStart.shouldReadPlatform(nowNanos));
    if (wanted && transfer == null && reads.due(jitter, nowNanos)) {
      effects.accept(reads.read(PlatformSubject.TABLE, watchedVersion(), reader, nowNanos));
    }
  }

  /** Asks a peer how lately the table was confirmed, if that is long ago here. */
  public void requestConfirmation(
      Supplier<List<String>> peersByRank, ReadTimestamp now, long nowNanos) {
    if (policy.leaseMillis() > 0 && table.version() > 0) {
      confirmations
          .peerToAsk(peersByRank, now, nowNanos)
          .ifPresent(peer -> send(peer, confirmations.request()));
    }
  }

  /** Answers a peer that asked how lately the table was confirmed. */
  public void onConfirmationRequest(
      String peer, ConfirmationRequest request, ReadTimestamp arrived) {
    send(peer, confirmations.reply(request, table.version(), arrived));
  }

  /** Takes a peer's word on how lately the table was confirmed. */
  public void onConfirmationTransfer(ConfirmationTransfer answer) {
    confirm(confirmations.onReply(answer, table.version()));
  }

  private void confirm(Optional<ReadTimestamp> begun) {
    begun.ifPresent(mark -> effects.accept(new VersionEffect.ConfirmTable(mark)));
  }

  /** Returns the highest version in force, prepared, or on its way. */
  private long newestKnown() {
    long onItsWay = transfer == null ? 0 : transfer.manifest().version();
    return Math.max(onItsWay, preparedManifest.version());
  }

  /** Returns the version that the platform has to exceed; refused ones are not read again. */
  private long watchedVersion() {
    return Math.max(preparedManifest.version(), refusals.highest());
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
    Optional<PageReference> missing = transfer.nextPage(pages, nowNanos);
    if (missing.isEmpty()) {
      effects.accept(
          new VersionEffect.PrepareTable(transfer.manifest(), pages.content(transfer.manifest())));
    } else if (transfer.source().equals(VersionDecision.PLATFORM)) {
      effects.accept(new VersionEffect.ReadPage(missing.get()));
    } else {
      send(transfer.source(), new PageRequest(missing.get().digest()));
    }
  }

  private void abandonTransfer(long nowNanos) {
    if (transfer.source().equals(VersionDecision.PLATFORM)) {
      reads.recordFailure(latestJitter, nowNanos);
    }
    transfer = null;
  }

  private void endTransfer(ManifestTransfer manifest) {
    if (transfer != null && transfer.manifest().equals(manifest)) {
      transfer = null;
    }
  }

  private void dropUnusedPages() {
    ManifestTransfer onItsWay = transfer == null ? inForce : transfer.manifest();
    pages.retain(List.of(inForce, preparedManifest, onItsWay));
  }

  private void send(String instance, LinkMessage message) {
    effects.accept(new VersionEffect.Send(instance, message));
  }

  private long transferNanos() {
    return TimeUnit.MILLISECONDS.toNanos(policy.transferMillis());
  }
}

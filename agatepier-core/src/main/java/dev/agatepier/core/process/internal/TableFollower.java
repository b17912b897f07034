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
 * Follows the versions of the table: fetches the manifest and pages of a newer version from the
 * platform or a peer, has the table validated as a whole, and activates it. The active version
 * never decreases.
 */
public final class TableFollower {

  private final VersionPolicy policy;
  private final Consumer<VersionEffect> effects;
  private final ReadSchedule reads;
  private final ColdStart coldStart;
  private final OutstandingRequest manifestRequest;
  private final Confirmations confirmations;
  private final RefusedManifests refusedManifests = new RefusedManifests();
  private final PageStore pages = new PageStore();

  private ManifestTransfer activeManifest = new ManifestTransfer(0, List.of());
  private Table table = Table.NONE;
  private TableTransfer transfer;
  private ManifestTransfer preparedManifest = activeManifest;
  private Table prepared = Table.NONE;
  private double latestJitter;

  /**
   * Creates a follower without a table.
   *
   * @param policy settings
   * @param effects receives the effects to carry out
   */
  public TableFollower(VersionPolicy policy, Consumer<VersionEffect> effects) {
    this.policy = policy;
    this.effects = effects;
    reads = new ReadSchedule(policy);
    coldStart = new ColdStart(TimeUnit.MILLISECONDS.toNanos(policy.coldStartMillis()));
    manifestRequest = new OutstandingRequest(transferTimeoutNanos());
    confirmations = new Confirmations(policy.leaseMillis());
  }

  /** Returns the active table. */
  public Table table() {
    return table;
  }

  /** Returns the schedule for reads of the platform's manifest. */
  public ReadSchedule reads() {
    return reads;
  }

  /** Starts the cold-start wait at the first event; later calls have no effect. */
  public void startColdStart(long nowNanos) {
    coldStart.start(nowNanos);
  }

  /** Abandons a transfer from a peer that has been disconnected. */
  public void onPeerDisconnected(String instance, long nowNanos) {
    if (transfer != null && transfer.source().equals(instance)) {
      abandonTransfer(nowNanos);
    }
  }

  /** Handles the active version of a peer; requests its manifest if that version is newer. */
  public void onVersionOffered(String peer, long version, long nowNanos) {
    coldStart.recordPeerVersion(version);
    if (version > newestKnown()
        && !refusedManifests.contains(version)
        && manifestRequest.trySend(nowNanos)) {
      send(peer, new ManifestRequest(activeManifest.version()));
    }
  }

  /** Sends the active manifest to a peer, if it is newer than the version known there. */
  public void onManifestRequest(String peer, long knownVersion) {
    if (activeManifest.version() > knownVersion) {
      send(peer, activeManifest);
    }
  }

  /** Handles a peer's manifest; starts a transfer if its version is newer and was not refused. */
  public void onManifestTransfer(String peer, ManifestTransfer manifest, long nowNanos) {
    manifestRequest.complete();
    beginTransfer(manifest, peer, nowNanos);
  }

  /** Sends a page to a peer; without content if the page is not stored here. */
  public void onPageRequest(String peer, String digest) {
    send(peer, new PageTransfer(digest, pages.get(digest)));
  }

  /** Handles a received page, or a source's reply that it does not have the page. */
  public void onPageReceived(VersionEvent.PageReceived received, long nowNanos) {
    if (transfer == null || !transfer.isRequested(received.source(), received.digest())) {
      return;
    }
    if (received.content().isEmpty()) {
      abandonTransfer(nowNanos);
      return;
    }
    pages.put(received.digest(), received.content().get());
    continueTransfer(nowNanos);
  }

  /**
   * Handles the platform's manifest.
   *
   * @param reader whether this process is one of those selected to read the platform
   */
  public void onManifestRead(VersionEvent.ManifestRead read, boolean reader, long nowNanos) {
    coldStart.recordPlatformResponse();
    ManifestTransfer manifest = read.manifest();
    final boolean usable =
        manifest.version() > newestKnown() && !refusedManifests.contains(manifest);
    confirm(confirmations.recordNewest(manifest.version(), table.version(), read.startedAt()));
    if (usable && (reader || coldStart.overdue(nowNanos))) {
      reads.recordSuccess(nowNanos);
      beginTransfer(manifest, VersionDecision.PLATFORM, nowNanos);
    } else {
      reads.recordFailure(read.jitter(), nowNanos);
    }
  }

  /** Handles the platform's response that there is no version above the watched one. */
  public void onPlatformUnchanged(ReadTimestamp readAt) {
    coldStart.recordPlatformResponse();
    confirm(confirmations.recordNewest(watchedVersion(), table.version(), readAt));
  }

  /** Handles a table that passed validation; it is activated later if it is the newest. */
  public void onTablePrepared(ManifestTransfer manifest, Table validated) {
    endTransfer(manifest);
    reads.resetBackoff();
    if (manifest.version() > preparedManifest.version()) {
      preparedManifest = manifest;
      prepared = validated;
    }
  }

  /** Handles a table that failed validation; its manifest is not fetched again. */
  public void onTableRefused(VersionEvent.TableRefused refused) {
    endTransfer(refused.manifest());
    refusedManifests.add(refused.manifest());
    dropUnusedPages();
    effects.accept(
        new VersionEffect.ReportRefusal(refused.manifest().version(), refused.mistakes()));
  }

  /** Activates the newest valid version; the first one only when the cold start allows it. */
  public void activatePrepared(long nowNanos) {
    boolean first = table.version() == 0;
    if (prepared.version() <= table.version()
        || (first && !coldStart.mayActivate(prepared.version(), nowNanos))) {
      return;
    }
    table = prepared;
    activeManifest = preparedManifest;
    dropUnusedPages();
    effects.accept(new VersionEffect.PublishTable(table));
    confirm(confirmations.onActivated(table.version()));
  }

  /** Abandons a transfer that has timed out. */
  public void onTick(double jitter, long nowNanos) {
    latestJitter = jitter;
    if (transfer != null && transfer.overdue(nowNanos)) {
      abandonTransfer(nowNanos);
    }
  }

  /** Starts a read of the platform's manifest, if this process is to read it and a read is due. */
  public void readIfDue(boolean reader, double jitter, long nowNanos) {
    boolean wanted = reader || (table.version() == 0 && coldStart.shouldReadPlatform(nowNanos));
    if (wanted && transfer == null && reads.due(jitter, nowNanos)) {
      effects.accept(reads.read(PlatformSubject.TABLE, watchedVersion(), reader, nowNanos));
    }
  }

  /** Asks a peer when the table was last confirmed, if this process's own confirmation is old. */
  public void requestConfirmation(
      Supplier<List<String>> peersByRank, ReadTimestamp now, long nowNanos) {
    if (policy.leaseMillis() > 0 && table.version() > 0) {
      confirmations
          .peerToAsk(peersByRank, now, nowNanos)
          .ifPresent(peer -> send(peer, confirmations.request()));
    }
  }

  /**
   * Replies to a peer that asked when the table was last confirmed.
   *
   * @param evacuatedRevision revision of the evacuated data centres known here
   */
  public void onConfirmationRequest(
      String peer, ConfirmationRequest request, long evacuatedRevision, ReadTimestamp receivedAt) {
    send(
        peer,
        confirmations
            .reply(request, table.version(), receivedAt)
            .withEvacuatedRevision(evacuatedRevision));
  }

  /** Handles a peer's reply about when the table was last confirmed. */
  public void onConfirmationTransfer(ConfirmationTransfer reply) {
    confirm(confirmations.onReply(reply, table.version()));
  }

  private void confirm(Optional<ReadTimestamp> confirmedAt) {
    confirmedAt.ifPresent(time -> effects.accept(new VersionEffect.ConfirmTable(time)));
  }

  /** Returns the highest version that is active, prepared or in transfer. */
  private long newestKnown() {
    long inTransfer = transfer == null ? 0 : transfer.manifest().version();
    return Math.max(inTransfer, preparedManifest.version());
  }

  /** Returns the version that the next read must exceed; refused versions are not read again. */
  private long watchedVersion() {
    return Math.max(preparedManifest.version(), refusedManifests.highest());
  }

  private void beginTransfer(ManifestTransfer manifest, String source, long nowNanos) {
    if (manifest.version() <= newestKnown() || refusedManifests.contains(manifest)) {
      return;
    }
    transfer = new TableTransfer(manifest, source, transferTimeoutNanos());
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
    ManifestTransfer inTransfer = transfer == null ? activeManifest : transfer.manifest();
    pages.retain(List.of(activeManifest, preparedManifest, inTransfer));
  }

  private void send(String instance, LinkMessage message) {
    effects.accept(new VersionEffect.Send(instance, message));
  }

  private long transferTimeoutNanos() {
    return TimeUnit.MILLISECONDS.toNanos(policy.transferMillis());
  }
}
